#pragma once

#include <LibAccounting/UsageRecord.h>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Accounting {

/// Counts, at one instance, the slots held and used of each group to the microsecond, and the
/// tokens of each team. Safe from any thread; groups are spread over locks.
class UsageMeter
{
public:
    /// The clock must outlive the meter. Durations come from its monotonic time.
    explicit UsageMeter(const Core::Clock &clock);

    /// The instance holds this many slots of the group from now on.
    void noteShare(const Core::UpstreamGroupId &group, std::uint32_t slots);
    /// A request of the team took a slot.
    void noteStarted(const Core::UpstreamGroupId &group, const Core::TeamId &team);
    /// A request of the team gave its slot back, with the tokens that its upstream reported.
    void noteFinished(const Core::UpstreamGroupId &group, const Core::TeamId &team,
                      const TokenCounts &tokens);

    /// Ends the interval of every group and returns its records, without sequence numbers. The
    /// next interval starts at the same moment, so that nothing falls between two.
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
    /// Adds up to now what is held and used.
    void advance(GroupState &state) const;
    UsageRecord close(const Core::UpstreamGroupId &group, GroupState &state,
                      std::uint64_t generation) const;

    const Core::Clock &m_clock;
    std::array<Shard, ShardCount> m_shards;
};

} // namespace Accounting
