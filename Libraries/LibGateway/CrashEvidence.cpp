#include <LibGateway/CrashEvidence.h>

#include <algorithm>
#include <utility>

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
    auto *found = findCrash(casualty.crash);
    auto &crash = found ? *found : add(casualty.crash, now);
    if (m_scope == Scope::Begun && crash.hasBegun && !casualty.hasBegun)
        return false;
    if (casualty.hasBegun && !std::exchange(crash.hasBegun, true) && m_scope == Scope::Begun) {
        crash.requests.clear();
        clearSuspects(crash);
    }
    if (crash.requests.size() >= MaxRequestsPerCrash
        || !crash.requests.insert(casualty.identity()).second)
        return false;
    const auto count = std::min(casualty.parts.size(), MaxPartsPerPrompt);
    for (std::size_t n = 0; n < count; ++n)
        addSuspect(crash, casualty, casualty.parts[n], n);
    addSuspect(crash, casualty, casualty.request, count);
    return true;
}

UpstreamCrash *CrashEvidence::findCrash(std::uint64_t crash)
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

void CrashEvidence::addSuspect(UpstreamCrash &crash, const Casualty &casualty,
                               std::uint64_t suspect, std::size_t position)
{
    const auto [it, isFirst] = crash.suspects.try_emplace(suspect);
    auto &item = it->second;
    if (item.requests.empty() || item.requests.back().identity != casualty.identity())
        item.requests.push_back({casualty.identity(), casualty.request});
    item.depth = std::max(item.depth, position);
    if (!isFirst)
        return;
    item.isRequest = suspect == casualty.request;
    crash.wholeRequests += item.isRequest;
    auto &crashes = m_suspects[suspect];
    m_wholeRequests += item.isRequest && crashes.empty();
    const auto next = std::upper_bound(
        crashes.begin(), crashes.end(), crash.time,
        [](const auto &time, const UpstreamCrash *other) { return time < other->time; });
    crashes.insert(next, &crash);
}

void CrashEvidence::removeOldest()
{
    clearSuspects(m_crashes.front());
    m_crashes.pop_front();
}

void CrashEvidence::clearSuspects(UpstreamCrash &crash)
{
    for (const auto &[suspect, item] : crash.suspects) {
        const auto it = m_suspects.find(suspect);
        std::erase(it->second, &crash);
        if (!it->second.empty())
            continue;
        m_wholeRequests -= item.isRequest;
        m_suspects.erase(it);
    }
    crash.suspects.clear();
    crash.wholeRequests = 0;
}

} // namespace Gateway
