#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Gateway {

struct Casualty;

/// A crash of an engine, with the prompts that were lost in it.
struct UpstreamCrash
{
    struct Part
    {
        std::vector<std::uint64_t> requests;
        /// The part's largest position in these prompts.
        std::size_t depth = 0;
    };

    std::uint64_t id = 0;
    /// Whether the engine had begun to answer some of the prompts. Only these count then.
    bool hasBegun = false;
    /// When its first casualty was reported.
    Core::Clock::Monotonic time;
    std::unordered_set<std::uint64_t> requests;
    std::unordered_map<std::uint64_t, Part> parts;
};

/// Collects the casualties of recent crashes.
class CrashEvidence
{
public:
    using Crashes = std::vector<const UpstreamCrash *>;
    /// The crashes of each part, the oldest first.
    using Suspects = std::unordered_map<std::uint64_t, Crashes>;

    CrashEvidence() = default;
    CrashEvidence(const CrashEvidence &) = delete;
    CrashEvidence &operator=(const CrashEvidence &) = delete;

    /// Records a casualty, and forgets the crashes that are older than the retention time. Returns
    /// whether the casualty is new.
    bool note(const Casualty &casualty, Core::Clock::Monotonic now);
    /// The crashes, the oldest first.
    const std::list<UpstreamCrash> &crashes() const { return m_crashes; }
    /// The parts of the crashes.
    const Suspects &suspects() const { return m_suspects; }

private:
    UpstreamCrash *find(std::uint64_t crash);
    UpstreamCrash &add(std::uint64_t crash, Core::Clock::Monotonic now);
    void addPart(UpstreamCrash &crash, const Casualty &casualty, std::size_t position);
    void removeOldest();
    void clearParts(UpstreamCrash &crash);

    /// A list, because the suspects refer to its elements.
    std::list<UpstreamCrash> m_crashes;
    /// Kept up to date, because counting the parts of many waiting prompts takes milliseconds.
    Suspects m_suspects;
};

} // namespace Gateway
