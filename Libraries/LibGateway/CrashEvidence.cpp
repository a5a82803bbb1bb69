#include <LibGateway/CrashEvidence.h>
#include <LibGateway/PoisonPartTable.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::chrono::seconds RetentionTime {60};
constexpr std::size_t MaxCrashes = 64;
constexpr std::size_t MaxRequestsPerCrash = 128;
constexpr std::size_t MaxPartsPerPrompt = 32;

} // namespace

bool CrashEvidence::note(const PromptCasualty &casualty, Core::Clock::Monotonic now)
{
    while (!m_crashes.empty() && now - m_crashes.front().time >= RetentionTime)
        m_crashes.pop_front();
    auto *crash = find(casualty.crash);
    if (!crash) {
        if (m_crashes.size() >= MaxCrashes)
            m_crashes.pop_front();
        // Casualties that pass hubs arrive later than newer ones.
        const auto next = std::upper_bound(
            m_crashes.begin(), m_crashes.end(), now,
            [](const auto &time, const EngineCrash &item) { return time < item.time; });
        crash = &*m_crashes.insert(next, EngineCrash {});
        crash->id = casualty.crash;
        crash->time = now;
    }
    if (crash->hasBegun && !casualty.hasBegun)
        return false;
    if (casualty.hasBegun && !crash->hasBegun) {
        crash->hasBegun = true;
        crash->requests.clear();
        crash->parts.clear();
    }
    if (crash->requests.size() >= MaxRequestsPerCrash
        || !crash->requests.insert(casualty.request).second)
        return false;
    const auto count = std::min(casualty.parts.size(), MaxPartsPerPrompt);
    for (std::size_t n = 0; n < count; ++n) {
        auto &part = crash->parts[casualty.parts[n]];
        if (part.requests.empty() || part.requests.back() != casualty.request)
            part.requests.push_back(casualty.request);
        part.depth = std::max(part.depth, n);
    }
    return true;
}

EngineCrash *CrashEvidence::find(std::uint64_t crash)
{
    const auto it = std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                                 [crash](const EngineCrash &item) { return item.id == crash; });
    return it == m_crashes.rend() ? nullptr : &*it;
}

std::unordered_map<std::uint64_t, CrashEvidence::Crashes>
CrashEvidence::suspects(std::size_t minCrashes) const
{
    std::unordered_map<std::uint64_t, Crashes> result;
    for (const auto &crash : m_crashes) {
        for (const auto &[part, item] : crash.parts)
            result[part].push_back(&crash);
    }
    std::erase_if(result,
                  [minCrashes](const auto &item) { return item.second.size() < minCrashes; });
    return result;
}

} // namespace Gateway
