#include <Processes/Documents.h>
#include <Processes/Fleet.h>
#include <catch2/catch.hpp>

using namespace Processes;

TEST_CASE("a request that crashes engines reaches only a few, however often it is resent")
{
    constexpr int Engines = 8;
    constexpr int Resends = 10;
    // The number of engines that one digest may crash (LibAdmission's crash limit), plus one for
    // each sibling that has not yet received the report of the last crash.
    constexpr int CrashLimit = 3;
    constexpr int Routers = 2;
    Fleet fleet;
    for (int n = 1; n <= Engines; ++n)
        fleet.startEngine("engine-" + std::to_string(n), "engines", {"--poison-marker", "POISON"});
    fleet.startDaemon("router-1", "a");
    fleet.startDaemon("router-2", "a");
    fleet.publish(testDocument(), {"router-1", "router-2"});
    fleet.awaitUpstreams({"router-1", "router-2"}, Engines);

    fleet.awaitSiblings({"router-1", "router-2"}, 1);

    const std::string prefix(20'000, 'g');
    bool refused = false;
    for (int n = 0; n < Resends; ++n) {
        const auto &router = fleet.node(n % 2 == 0 ? "router-1" : "router-2");
        const auto answer = fleet.send(
            router.address, completionRequest("example-key", "model", prefix + "POISON", 4, false));
        CHECK(answer.status != 200);
        refused = refused || answer.body.find("poison_request") != std::string::npos;
        const auto innocent =
            fleet.send(router.address, completionRequest("example-key", "model",
                                                         prefix + std::to_string(n), 4, false));
        INFO(innocent.body);
        CHECK(innocent.status == 200);
    }
    CHECK(refused);
    int crashes = 0;
    for (int n = 1; n <= Engines; ++n) {
        const auto report = fleet.json(fleet.node("engine-" + std::to_string(n)).address, "/load");
        crashes += report.at("crashes").to_number<int>();
    }
    CHECK(crashes <= CrashLimit + Routers - 1);
}
