#pragma once

#include <LibAccounting/Settlement.h>
#include <LibAccounting/UsageRecord.h>

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

namespace Accounting {

/// Gives the owned shares of a group in a generation of the configuration.
using ShareLookup =
    std::function<std::vector<OwnedShare>(const Core::UpstreamGroupId &, std::uint64_t generation)>;

/// The account of one group.
struct GroupUsage
{
    Core::UpstreamGroupId group;
    /// Slots held by all instances, times the time.
    SlotMicroseconds capacity = 0;
    Settlement settlement;
    std::vector<TeamUse> uses;
};

/// Records that are known to be missing.
struct UsageGap
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t firstSequence = 0;
    std::uint64_t count = 0;
};

/// An incarnation that has not said that it ended. What it did after its last record is not in the
/// account: at most one interval while the log was up, and the outage besides.
struct OpenIncarnation
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    Core::Clock::Wall accountedUntil;
};

/// What `jujubectl usage` shows.
struct UsageReport
{
    std::vector<GroupUsage> groups;
    std::vector<UsageGap> gaps;
    std::vector<OpenIncarnation> open;
};

/// Builds the account from the log's records, in any order and with any of them doubled. Records of
/// all instances are settled together for each stretch of time, so that a team that works at one
/// instance and owns slots at another does not seem to borrow. Not safe for several threads at
/// once.
class UsageLedger
{
public:
    /// `stretch` is the time over which lending is settled.
    UsageLedger(ShareLookup shares, std::chrono::seconds interval);

    /// Takes one log record. Errors: FrameInvalid; the account is then unchanged.
    Core::Result<void> apply(std::string_view bytes);

    /// The account of the records that start in [from, to).
    UsageReport report(Core::Clock::Wall from, Core::Clock::Wall to) const;

private:
    struct IntervalKey
    {
        Core::UpstreamGroupId group;
        std::int64_t interval = 0;
        std::uint64_t generation = 0;
        friend bool operator<(const IntervalKey &a, const IntervalKey &b)
        {
            return std::tie(a.group, a.interval, a.generation)
                   < std::tie(b.group, b.interval, b.generation);
        }
    };
    struct IntervalUsage
    {
        SlotMicroseconds capacity = 0;
        std::map<Core::TeamId, TeamUse> uses;
    };
    struct Source
    {
        Core::InstanceId instance;
        std::uint64_t incarnation = 0;
        friend bool operator<(const Source &a, const Source &b)
        {
            return std::tie(a.instance, a.incarnation) < std::tie(b.instance, b.incarnation);
        }
    };
    struct SourceState
    {
        /// All records up to this one were seen.
        std::uint64_t seenUpTo = 0;
        std::set<std::uint64_t> seenBeyond;
        bool hasEnded = false;
        Core::Clock::Wall accountedUntil;
    };

    static bool noteSeen(SourceState &state, std::uint64_t sequence);
    void add(const UsageRecord &record);
    static void addGaps(const Source &source, const SourceState &state, UsageReport &report);

    const ShareLookup m_shares;
    const std::chrono::seconds m_interval;
    std::map<IntervalKey, IntervalUsage> m_intervals;
    std::map<Source, SourceState> m_sources;
};

} // namespace Accounting
