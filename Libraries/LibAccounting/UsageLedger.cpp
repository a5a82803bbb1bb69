#include <LibAccounting/UsageLedger.h>

#include <algorithm>

namespace Accounting {

namespace {

/// Sums settlements per owner and user.
class SettlementSum
{
public:
    void add(const Settlement &settlement)
    {
        for (const auto &row : settlement.served)
            m_served[{row.owner, row.user}] += row.slots;
        for (const auto &row : settlement.idle)
            m_idle[row.owner] += row.slots;
        m_overrun += settlement.overrun;
    }

    Settlement result() const
    {
        Settlement sum {.overrun = m_overrun};
        for (const auto &[parties, slots] : m_served)
            sum.served.push_back({parties.first, parties.second, slots});
        for (const auto &[owner, slots] : m_idle)
            sum.idle.push_back({owner, slots});
        return sum;
    }

private:
    std::map<std::pair<Core::TeamId, Core::TeamId>, SlotMicroseconds> m_served;
    std::map<Core::TeamId, SlotMicroseconds> m_idle;
    SlotMicroseconds m_overrun = 0;
};

/// Running totals of one group.
struct GroupSum
{
    SlotMicroseconds capacity = 0;
    SettlementSum settlement;
    std::map<Core::TeamId, TeamUse> uses;
};

void addUse(std::map<Core::TeamId, TeamUse> &uses, const TeamUse &use)
{
    auto &sum = uses[use.team];
    sum.team = use.team;
    sum.slots += use.slots;
    sum.tokens += use.tokens;
}

std::vector<TeamUse> toVector(const std::map<Core::TeamId, TeamUse> &uses)
{
    std::vector<TeamUse> list;
    list.reserve(uses.size());
    for (const auto &[team, use] : uses)
        list.push_back(use);
    return list;
}

std::int64_t intervalOf(Core::Clock::Wall time, std::chrono::seconds interval)
{
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch());
    return since / interval;
}

} // namespace

UsageLedger::UsageLedger(ShareLookup shares, std::chrono::seconds interval)
    : m_shares(std::move(shares))
    , m_interval(std::max(interval, std::chrono::seconds(1)))
{ }

Core::Result<void> UsageLedger::apply(std::string_view bytes)
{
    const auto batch = decodeUsageBatch(bytes);
    if (!batch)
        return batch.error();
    auto &source = m_sources[{batch.value().instance, batch.value().incarnation}];
    source.hasEnded = source.hasEnded || batch.value().isLast;
    for (const auto &record : batch.value().records) {
        if (!noteSeen(source, record.sequence))
            continue;
        const auto end =
            record.start + std::chrono::duration_cast<Core::Clock::Wall::duration>(record.length);
        source.accountedUntil = std::max(source.accountedUntil, end);
        add(record);
    }
    return boost::outcome_v2::success();
}

UsageReport UsageLedger::report(Core::Clock::Wall from, Core::Clock::Wall to) const
{
    UsageReport report;
    std::map<Core::UpstreamGroupId, GroupSum> groups;
    const auto first = intervalOf(from, m_interval);
    const auto last = intervalOf(to, m_interval);
    for (const auto &[key, interval] : m_intervals) {
        if (key.interval < first || key.interval >= last)
            continue;
        auto &group = groups[key.group];
        group.capacity += interval.capacity;
        const auto uses = toVector(interval.uses);
        group.settlement.add(settle(interval.capacity, m_shares(key.group, key.generation), uses));
        for (const auto &use : uses)
            addUse(group.uses, use);
    }
    for (const auto &[id, sum] : groups)
        report.groups.push_back({id, sum.capacity, sum.settlement.result(), toVector(sum.uses)});
    for (const auto &[source, state] : m_sources)
        addGaps(source, state, report);
    return report;
}

bool UsageLedger::noteSeen(SourceState &state, std::uint64_t sequence)
{
    if (sequence <= state.seenUpTo || !state.seenBeyond.insert(sequence).second)
        return false;
    while (!state.seenBeyond.empty() && *state.seenBeyond.begin() == state.seenUpTo + 1) {
        ++state.seenUpTo;
        state.seenBeyond.erase(state.seenBeyond.begin());
    }
    return true;
}

void UsageLedger::add(const UsageRecord &record)
{
    auto &interval =
        m_intervals[{record.group, intervalOf(record.start, m_interval), record.generation}];
    interval.capacity += record.capacity;
    for (const auto &use : record.uses)
        addUse(interval.uses, use);
}

void UsageLedger::addGaps(const Source &source, const SourceState &state, UsageReport &report)
{
    auto expected = state.seenUpTo + 1;
    for (const auto sequence : state.seenBeyond) {
        if (sequence > expected)
            report.gaps.push_back(
                {source.instance, source.incarnation, expected, sequence - expected});
        expected = sequence + 1;
    }
    if (!state.hasEnded)
        report.open.push_back({source.instance, source.incarnation, state.accountedUntil});
}

} // namespace Accounting
