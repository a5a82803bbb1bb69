#pragma once

#include <LibAccounting/UsageRecord.h>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Accounting {

/// Measures the slot time that one instance holds and uses in each group, in microseconds, and
/// counts each team's tokens. Thread-safe; the groups are sharded over several mutexes.
class UsageMeter
{
public:
    /// The clock must outlive the meter. Durations are measured on its monotonic time.
    explicit UsageMeter(const Core::Clock &clock);

    /// Records that the instance holds this many slots of the group from now on.
    void noteShare(const Core::UpstreamGroupId &group, std::uint32_t slots);
    /// Records that a request of the team occupied a slot.
    void noteStarted(const Core::UpstreamGroupId &group, const Core::TeamId &team);
    /// Records that a request of the team released its slot, with the token counts that its
    /// upstream reported.
    void noteFinished(const Core::UpstreamGroupId &group, const Core::TeamId &team,
                      const TokenCounts &tokens);

    /// Ends the current interval of every group and returns the records, without sequence numbers.
    /// The next interval starts at the same instant, so no time is lost between intervals.
    std::vector<UsageRecord> closeInterval(std::uint64_t generation);

private:
    struct TeamState
    {
        std::uint32_t running = 0;
        SlotMicroseconds slots = 0;
        TokenCounts tokens;
    };
    struct GroupState
    {
        std::uint32_t share = 0;
        SlotMicroseconds capacity = 0;
        std::map<Core::TeamId, TeamState> teams;
        std::optional<std::chrono::microseconds> accountedUntil;
        std::chrono::microseconds intervalStart {0};
        Core::Clock::Wall wallStart;
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<Core::UpstreamGroupId, GroupState> groups;
    };
    static constexpr std::size_t ShardCount = 8;

    Shard &shardOf(const Core::UpstreamGroupId &group);
    std::chrono::microseconds monotonicNow() const;
    /// Adds the slot time held and used since the last call.
    void advance(GroupState &state) const;
    UsageRecord close(const Core::UpstreamGroupId &group, GroupState &state,
                      std::uint64_t generation) const;

    const Core::Clock &m_clock;
    std::array<Shard, ShardCount> m_shards;
};

} // namespace Accounting
