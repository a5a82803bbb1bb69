#include "Measure.h"
#include "Roles.h"

#include <LibAccounting/UsageMeter.h>
#include <LibAccounting/UsageRecord.h>
#include <LibCore/ManualClock.h>

#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Groups = 19;
constexpr std::size_t RequestsPerTeam = 20;
// Load of one instance: each team sends requests to one group within an interval.
constexpr auto Interval = 60s;

std::vector<std::string> measureUsage(std::size_t teams)
{
    Core::ManualClock clock;
    const auto heapBefore = heapBytes();
    const auto meter = std::make_unique<Accounting::UsageMeter>(clock);
    std::vector<Core::UpstreamGroupId> groups;
    for (std::size_t n = 0; n < Groups; ++n) {
        groups.emplace_back("group-" + std::to_string(n));
        meter->noteShare(groups.back(), 8);
    }
    std::vector<Core::TeamId> ids;
    for (std::size_t n = 0; n < teams; ++n)
        ids.emplace_back("team-" + std::to_string(n));
    auto before = processorTime();
    for (std::size_t n = 0; n < teams * RequestsPerTeam; ++n) {
        const auto &group = groups[n % teams % Groups];
        meter->noteStarted(group, ids[n % teams]);
        meter->noteFinished(group, ids[n % teams], {1'000, 500, 200});
        clock.advance(1us);
    }
    const auto requests = static_cast<double>(teams * RequestsPerTeam);
    const auto noting = (processorTime() - before).count() / requests;
    const auto heap = heapBytes() - heapBefore;
    clock.advance(Interval);
    before = processorTime();
    Accounting::UsageBatch batch;
    batch.instance = Core::InstanceId("entry-1");
    batch.incarnation = 1;
    batch.records = meter->closeInterval(1);
    const auto bytes = Accounting::encode(batch).size();
    const auto closing = (processorTime() - before).count();
    return {std::to_string(teams), formatNumber(noting * 1e6), formatNumber(heap / 1024),
            formatNumber(static_cast<double>(bytes)), formatNumber(closing * 1e3)};
}

} // namespace

std::vector<Table> measureUsage(Extent extent)
{
    Table table {"Usage account, 19 groups",
                 {"teams with work in the interval", "processor us a request", "heap KiB",
                  "log bytes an interval", "processor ms to close an interval"},
                 {}};
    table.rows.push_back(measureUsage(100));
    table.rows.push_back(measureUsage(1'000));
    if (extent == Extent::Full)
        table.rows.push_back(measureUsage(10'000));
    return {table};
}
