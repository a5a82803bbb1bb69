#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Gateway {

struct PromptCasualty;

/// A crash of an engine, with the prompts that were lost in it.
struct EngineCrash
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
    using Crashes = std::vector<const EngineCrash *>;

    /// Records a casualty, and forgets the crashes that are older than the retention time. Returns
    /// whether the casualty is new.
    bool note(const PromptCasualty &casualty, Core::Clock::Monotonic now);
    /// The crashes, the oldest first.
    const std::deque<EngineCrash> &crashes() const { return m_crashes; }
    /// Returns the crashes of each part that has at least this many, the oldest first.
    std::unordered_map<std::uint64_t, Crashes> suspects(std::size_t minCrashes) const;

private:
    EngineCrash *find(std::uint64_t crash);

    std::deque<EngineCrash> m_crashes;
};

} // namespace Gateway
