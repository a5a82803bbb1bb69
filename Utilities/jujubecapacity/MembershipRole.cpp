#include "Measure.h"
#include "Roles.h"

#include <LibMembership/FakeFleet.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr std::size_t DataCentres = 8;
constexpr auto SteadyTime = 60s;
constexpr auto MaxSettlingTime = 300s;
constexpr auto MaxDetectionTime = 120s;

struct Traffic
{
    double bytes = 0;
    double messages = 0;
};

Traffic trafficOf(const FakeFleet::Node &node)
{
    return {static_cast<double>(node.bytesSent + node.bytesReceived),
            static_cast<double>(node.messagesSent)};
}

/// Runs until the condition holds and returns the virtual seconds that it took.
double runUntil(FakeFleet &fleet, std::chrono::seconds maxTime, const auto &condition)
{
    const auto start = fleet.now();
    while (fleet.now() - start < maxTime && !condition())
        fleet.run(500ms);
    return std::chrono::duration<double>(fleet.now() - start).count();
}

std::vector<std::string> measureFleet(std::size_t count)
{
    const auto heapBefore = heapBytes();
    FakeFleet fleet(Seed);
    fleet.addMany(count, DataCentres);
    fleet.listAll();
    const auto settling = runUntil(fleet, MaxSettlingTime, [&] { return fleet.isComplete(); });
    const auto nodes = static_cast<double>(count);
    std::vector<Traffic> before;
    for (const auto &node : fleet.nodes)
        before.push_back(trafficOf(node));
    const auto processorBefore = processorTime();
    fleet.run(SteadyTime);
    const auto processor = (processorTime() - processorBefore).count();
    double bytes = 0;
    double maxRate = 0;
    double messages = 0;
    const auto seconds = std::chrono::duration<double>(SteadyTime).count();
    for (std::size_t n = 0; n < count; ++n) {
        const auto after = trafficOf(fleet.nodes[n]);
        const auto rate = (after.bytes - before[n].bytes) / seconds;
        bytes += rate / nodes;
        maxRate = std::max(maxRate, rate);
        messages += (after.messages - before[n].messages) / seconds / nodes;
    }
    const auto perNode = (heapBytes() - heapBefore) / nodes;
    const auto failedNode = fleet.id(0);
    fleet.kill(0);
    const auto detection =
        runUntil(fleet, MaxDetectionTime, [&] { return fleet.seenLiveBy(failedNode) == 0; });
    const auto drops = fleet.count(Membership::MemberChange::Died);
    return {std::to_string(count),
            formatNumber(bytes),
            formatNumber(maxRate),
            formatNumber(messages),
            formatNumber(processor / seconds / nodes * 1e6),
            formatNumber(perNode / 1024),
            formatNumber(settling),
            formatNumber(detection),
            std::to_string(drops - std::min(drops, count - 1))};
}

} // namespace

std::vector<Table> measureMembership(Extent extent)
{
    std::vector<std::size_t> sizes {8, 43, 85, 170, 340};
    if (extent == Extent::Quick)
        sizes = {8, 43};
    Table table;
    table.title = "Membership";
    table.header = {"nodes",
                    "bytes/s a node, sent and received",
                    "same, the busiest node",
                    "messages sent/s a node",
                    "processor us/s a node",
                    "heap KiB a node",
                    "s until a herd start is complete",
                    "s until a dead node is dropped by all",
                    "wrong drops"};
    for (const auto count : sizes)
        table.rows.push_back(measureFleet(count));
    return {table};
}
