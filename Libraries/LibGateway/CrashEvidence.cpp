#include <LibGateway/CrashEvidence.h>
#include <LibGateway/PoisonTable.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::chrono::seconds RetentionTime {60};
constexpr std::size_t MaxCrashes = 64;
constexpr std::size_t MaxRequestsPerCrash = 128;
constexpr std::size_t MaxPartsPerPrompt = 32;

} // namespace

bool CrashEvidence::note(const Casualty &casualty, Core::Clock::Monotonic now)
{
    while (!m_crashes.empty() && now - m_crashes.front().time >= RetentionTime)
        removeOldest();
    auto *found = find(casualty.crash);
    auto &crash = found ? *found : add(casualty.crash, now);
    if (crash.hasBegun && !casualty.hasBegun)
        return false;
    if (casualty.hasBegun && !crash.hasBegun) {
        crash.hasBegun = true;
        crash.requests.clear();
        clearParts(crash);
    }
    if (crash.requests.size() >= MaxRequestsPerCrash
        || !crash.requests.insert(casualty.request).second)
        return false;
    const auto count = std::min(casualty.parts.size(), MaxPartsPerPrompt);
    for (std::size_t n = 0; n < count; ++n)
        addPart(crash, casualty, n);
    return true;
}

UpstreamCrash *CrashEvidence::find(std::uint64_t crash)
{
    const auto it = std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                                 [crash](const UpstreamCrash &item) { return item.id == crash; });
    return it == m_crashes.rend() ? nullptr : &*it;
}

UpstreamCrash &CrashEvidence::add(std::uint64_t crash, Core::Clock::Monotonic now)
{
    if (m_crashes.size() >= MaxCrashes)
        removeOldest();
    // Casualties that pass hubs arrive later than newer ones.
    const auto next = std::upper_bound(
        m_crashes.begin(), m_crashes.end(), now,
        [](const auto &time, const UpstreamCrash &item) { return time < item.time; });
    auto &added = *m_crashes.insert(next, UpstreamCrash {});
    added.id = crash;
    added.time = now;
    return added;
}

void CrashEvidence::addPart(UpstreamCrash &crash, const Casualty &casualty, std::size_t position)
{
    const auto id = casualty.parts[position];
    const auto [it, isFirst] = crash.parts.try_emplace(id);
    auto &part = it->second;
    if (part.requests.empty() || part.requests.back() != casualty.request)
        part.requests.push_back(casualty.request);
    part.depth = std::max(part.depth, position);
    if (!isFirst)
        return;
    auto &crashes = m_suspects[id];
    const auto next = std::upper_bound(
        crashes.begin(), crashes.end(), crash.time,
        [](const auto &time, const UpstreamCrash *item) { return time < item->time; });
    crashes.insert(next, &crash);
}

void CrashEvidence::removeOldest()
{
    clearParts(m_crashes.front());
    m_crashes.pop_front();
}

void CrashEvidence::clearParts(UpstreamCrash &crash)
{
    for (const auto &[part, item] : crash.parts) {
        const auto it = m_suspects.find(part);
        std::erase(it->second, &crash);
        if (it->second.empty())
            m_suspects.erase(it);
    }
    crash.parts.clear();
}

} // namespace Gateway
