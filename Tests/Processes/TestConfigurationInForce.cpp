#include <Processes/Documents.h>
#include <Processes/Fleet.h>
#include <catch2/catch.hpp>

using namespace Processes;

namespace {

std::uint64_t generationOf(Fleet &fleet, const std::string &daemon)
{
    return fleet.json(fleet.node(daemon).admin, "/status")
        .at("generation")
        .to_number<std::uint64_t>();
}

} // namespace

TEST_CASE("an instance that starts during a log outage gets the document from a sibling")
{
    Fleet fleet;
    fleet.startEngine("engine-1", "engines");
    fleet.startDaemon("router-1", "a");
    fleet.publish(testDocument(), {"router-1"});
    const auto generation = generationOf(fleet, "router-1");
    // The instance list is still available when the new instance starts; then the platform stops.
    auto &newcomer = fleet.startDaemon("router-2", "a");
    fleet.json(fleet.platform().address, "/control/faults", R"({"log_outage":true})");
    Fleet::await("the newcomer is ready",
                 [&] { return generationOf(fleet, "router-2") == generation; });
    fleet.awaitUpstreams({"router-2"}, 1);
    const auto answer =
        fleet.send(newcomer.address, completionRequest("example-key", "model", "p", 2, false));
    CHECK(answer.status == 200);
}

TEST_CASE("a running instance keeps serving during an outage of the whole platform")
{
    Fleet fleet;
    fleet.startEngine("engine-1", "engines");
    fleet.startDaemon("router-1", "a");
    fleet.publish(testDocument(), {"router-1"});
    fleet.awaitUpstreams({"router-1"}, 1);
    fleet.platform().process->kill();
    for (int n = 0; n < 20; ++n) {
        const auto answer = fleet.send(fleet.node("router-1").address,
                                       completionRequest("example-key", "model", "p", 2, false));
        CHECK(answer.status == 200);
    }
}

TEST_CASE("a second document replaces the first on every instance, including a restarted one")
{
    Fleet fleet;
    fleet.startDaemon("router-1", "a");
    fleet.startDaemon("router-2", "a");
    fleet.publish(testDocument("1"), {"router-1", "router-2"});
    const auto first = generationOf(fleet, "router-1");
    fleet.publish(testDocument("2"), {"router-1", "router-2"});
    CHECK(generationOf(fleet, "router-1") == first + 1);
    CHECK(generationOf(fleet, "router-2") == first + 1);
    // A restarted instance replays the log and reaches the same generation.
    fleet.node("router-1").process->kill();
    fleet.startDaemon("router-1", "a");
    Fleet::await("the restarted instance has caught up",
                 [&] { return generationOf(fleet, "router-1") == first + 1; });
}
