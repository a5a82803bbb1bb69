#include <LibCore/EventLog.h>
#include <LibRouter/UsageAccount.h>
#include <LibRouter/UsageReporter.h>

#include <boost/json.hpp>

namespace Router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds LendingInterval {60};
constexpr std::size_t RecordsPerPage = 256;

json::object describe(const Accounting::GroupUsage &usage)
{
    json::array served;
    for (const auto &row : usage.settlement.served) {
        json::object entry;
        entry["owner"] = row.owner.value();
        entry["user"] = row.user.value();
        entry["slot_us"] = row.slots;
        served.push_back(std::move(entry));
    }
    json::array idle;
    for (const auto &row : usage.settlement.idle) {
        json::object entry;
        entry["owner"] = row.owner.value();
        entry["slot_us"] = row.slots;
        idle.push_back(std::move(entry));
    }
    json::array tokens;
    for (const auto &use : usage.uses) {
        json::object entry;
        entry["team"] = use.team.value();
        entry["computed"] = use.tokens.computed;
        entry["cached"] = use.tokens.cached;
        entry["generated"] = use.tokens.generated;
        tokens.push_back(std::move(entry));
    }
    json::object group;
    group["group"] = usage.group.value();
    group["capacity_slot_us"] = usage.capacity;
    group["overrun_slot_us"] = usage.settlement.overrun;
    group["served"] = std::move(served);
    group["idle"] = std::move(idle);
    group["tokens"] = std::move(tokens);
    return group;
}

json::object describe(const Accounting::UsageGap &gap)
{
    json::object entry;
    entry["instance"] = gap.instance.value();
    entry["incarnation"] = gap.incarnation;
    entry["first_sequence"] = gap.firstSequence;
    entry["count"] = gap.count;
    return entry;
}

json::object describe(const Accounting::OpenIncarnation &open)
{
    json::object entry;
    entry["instance"] = open.instance.value();
    entry["incarnation"] = open.incarnation;
    entry["accounted_until_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                      open.accountedUntil.time_since_epoch())
                                      .count();
    return entry;
}

template <typename Rows>
json::array describeAll(const Rows &rows)
{
    json::array entries;
    for (const auto &row : rows)
        entries.push_back(describe(row));
    return entries;
}

} // namespace

UsageAccount::UsageAccount(Instance &instance, Platform::LogService &log)
    : m_instance(instance)
    , m_log(log)
    , m_ledger([this](const auto &group, auto generation) { return shares(group, generation); },
               LendingInterval)
{ }

asio::awaitable<json::object> UsageAccount::report()
{
    co_await readToEnd();
    const auto report = m_ledger.report(Core::Clock::Wall::min(), Core::Clock::Wall::max());
    json::object answer;
    answer["groups"] = describeAll(report.groups);
    answer["gaps"] = describeAll(report.gaps);
    answer["open"] = describeAll(report.open);
    co_return answer;
}

asio::awaitable<void> UsageAccount::readToEnd()
{
    // A second request during a read is answered from the records that are already read.
    if (std::exchange(m_isReading, true))
        co_return;
    std::exception_ptr failure;
    try {
        const auto stream = UsageReporter::streamName(m_instance.settings().environment);
        while (true) {
            const auto page =
                co_await m_log.read(stream, m_next, RecordsPerPage, std::chrono::milliseconds(0));
            for (const auto &record : page.records) {
                if (!m_ledger.apply(record.data))
                    Core::logEvent(Core::EventId::LogRecordInvalid, {{"stream", stream}});
                m_next = record.offset + 1;
            }
            if (page.records.empty())
                break;
        }
    } catch (const Core::Error &) {
        failure = std::current_exception();
    }
    m_isReading = false;
    if (failure)
        std::rethrow_exception(failure);
}

std::vector<Accounting::OwnedShare> UsageAccount::shares(const Core::UpstreamGroupId &group,
                                                         std::uint64_t generation) const
{
    std::vector<Accounting::OwnedShare> shares;
    const auto document = m_instance.documentForGeneration(generation);
    if (!document)
        return shares;
    for (const auto &contract : document->contracts()) {
        if (contract.upstreamGroup == group && contract.ownedShare.millionths() > 0)
            shares.push_back({contract.team, contract.ownedShare.millionths()});
    }
    return shares;
}

} // namespace Router
