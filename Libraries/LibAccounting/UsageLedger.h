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

/// Returns the owned shares of a group in the given generation of the configuration.
using ShareLookup =
    std::function<std::vector<OwnedShare>(const Core::UpstreamGroupId &, std::uint64_t generation)>;

/// The usage of one group in the reported period.
struct GroupUsage
{
    Core::UpstreamGroupId group;
    /// Slots held by all instances, integrated over time.
    SlotMicroseconds capacity = 0;
    Settlement settlement;
    std::vector<TeamUse> uses;
};

/// A range of records that are known to be missing from the log.
struct UsageGap
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t firstSequence = 0;
    std::uint64_t count = 0;
};

/// An incarnation of an instance whose log has no final batch. Its usage after `accountedUntil` is
/// not in the report: at most one metering interval while the log was available, plus the duration
/// of a log outage.
struct OpenIncarnation
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    Core::Clock::Wall accountedUntil;
};

/// The report that `jujubectl usage` prints.
struct UsageReport
{
    std::vector<GroupUsage> groups;
    std::vector<UsageGap> gaps;
    std::vector<OpenIncarnation> open;
};

/// Aggregates the usage records of the log, which may arrive in any order and more than once. The
/// records of all instances are settled together for each interval, so that a team that sends its
/// requests to one instance and owns slots at another is not counted as a borrower. Not
/// thread-safe.
class UsageLedger
{
public:
    /// `interval` is the length of time over which borrowed capacity is settled.
    UsageLedger(ShareLookup shares, std::chrono::seconds interval);

    /// Adds one log record. Errors: FrameInvalid, in which case the ledger is unchanged.
    Core::Result<void> apply(std::string_view bytes);

    /// Returns the usage of the records that start in [from, to).
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
        /// All sequence numbers up to and including this one were received.
        std::uint64_t seenUpTo = 0;
        /// Sequence numbers received after a gap.
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
