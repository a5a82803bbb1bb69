#include <Processes/Documents.h>
#include <Processes/Fleet.h>
#include <catch2/catch.hpp>

#include <csignal>

using namespace Processes;

namespace {

struct Totals
{
    std::uint64_t generated = 0;
    std::uint64_t served = 0;
    std::uint64_t idle = 0;
    std::uint64_t capacity = 0;
};

Totals readTotals(const boost::json::value &usage)
{
    Totals totals;
    for (const auto &group : usage.at("groups").as_array()) {
        totals.capacity += group.at("capacity_slot_us").to_number<std::uint64_t>();
        for (const auto &row : group.at("served").as_array())
            totals.served += row.at("slot_us").to_number<std::uint64_t>();
        for (const auto &row : group.at("idle").as_array())
            totals.idle += row.at("slot_us").to_number<std::uint64_t>();
        for (const auto &row : group.at("tokens").as_array())
            totals.generated += row.at("generated").to_number<std::uint64_t>();
    }
    return totals;
}

} // namespace

TEST_CASE(
    "the usage totals are exact to the token although append answers are lost and routers exit")
{
    constexpr std::size_t Requests = 20;
    constexpr std::size_t Tokens = 7;
    Fleet fleet;
    fleet.startEngine("engine-1", "engines");
    for (const auto *name : {"router-1", "router-2"})
        fleet.startDaemon(name, "a", {"--usage-interval-ms", "50"});
    fleet.publish(testDocument(), {"router-1", "router-2"});
    fleet.awaitUpstreams({"router-1", "router-2"}, 1);
    fleet.json(fleet.platform().address, "/control/faults", R"({"lose_append_answers":8})");
    for (std::size_t n = 0; n < Requests; ++n) {
        const auto &router = fleet.node(n % 2 == 0 ? "router-1" : "router-2");
        const auto answer = fleet.send(
            router.address, completionRequest("example-key", "model", "p", Tokens, false));
        CHECK(answer.status == 200);
    }
    fleet.node("router-2").process->signal(SIGTERM);
    CHECK(fleet.node("router-2").process->wait() == 0);
    Fleet::await("all work is on the account", [&] {
        const auto usage = fleet.json(fleet.node("router-1").admin, "/usage");
        return readTotals(usage).generated >= Requests * Tokens;
    });
    const auto usage = fleet.json(fleet.node("router-1").admin, "/usage");
    const auto totals = readTotals(usage);
    CHECK(totals.generated == Requests * Tokens);
    CHECK(totals.served + totals.idle == totals.capacity);
    CHECK(totals.served > 0);
    CHECK(usage.at("gaps").as_array().empty());
    // Only the router that is still running has not published its shutdown.
    CHECK(usage.at("open").as_array().size() == 1);
}
