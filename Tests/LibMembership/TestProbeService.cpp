#include "FakeFleet.h"

#include <catch2/catch.hpp>

using Membership::MemberChange;
using namespace std::chrono_literals;

namespace {

constexpr auto Period = 1'000ms;

/// Starts a fleet and runs it until every member knows all others.
void startAndConverge(FakeFleet &fleet, std::size_t count, std::size_t dataCentres)
{
    fleet.addMany(count, dataCentres);
    fleet.listAll();
    for (int n = 0; n < 60 && !fleet.isComplete(); ++n)
        fleet.run(Period);
    REQUIRE(fleet.isComplete());
    fleet.list({});
    fleet.events.clear();
}

} // namespace

TEST_CASE("instances that start together discover all members from the list and from peers")
{
    const std::size_t count = GENERATE(2, 8, 40);
    FakeFleet fleet(count);
    fleet.addMany(count, 4);
    fleet.listAll();
    fleet.run(20 * Period);
    CHECK(fleet.isComplete());
    CHECK(fleet.count(MemberChange::Suspected) == 0);
}

TEST_CASE("an unlisted member is discovered through its peers")
{
    FakeFleet fleet(5);
    startAndConverge(fleet, 8, 2);
    const auto late = fleet.add("late", 1, "harju-1", "10.0.9.9:7000");
    fleet.nodes[late].service->noteListed({fleet.nodes[0].service->self().address});
    fleet.run(20 * Period);
    CHECK(fleet.isComplete());
}

TEST_CASE("a failed member is dropped by all members while the platform is unavailable")
{
    const std::size_t count = GENERATE(2, 8, 40);
    FakeFleet fleet(count);
    startAndConverge(fleet, count, 4);
    const auto failed = fleet.id(0);
    fleet.kill(0);
    const auto timeout = fleet.nodes[1].service->table().suspicionTimeout();
    fleet.run(timeout + 12 * Period);
    CHECK(fleet.seenLiveBy(failed) == 0);
    CHECK(fleet.isComplete());
}

TEST_CASE("a path that is cut in one direction drops nobody")
{
    FakeFleet fleet(7);
    startAndConverge(fleet, 8, 2);
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
    fleet.run(120 * Period);
    CHECK(fleet.count(MemberChange::Died) == 0);
    CHECK(fleet.isComplete());
}

TEST_CASE("a member that receives no messages does not make the others drop each other")
{
    FakeFleet fleet(7);
    startAndConverge(fleet, 8, 2);
    fleet.isCut = [](std::size_t, std::size_t to) { return to == 0; };
    fleet.run(60 * Period);
    for (const auto &event : fleet.events) {
        const bool isAboutOthers = event.observer != 0 && event.member != fleet.id(0);
        CHECK_FALSE((isAboutOthers && event.change == MemberChange::Died));
    }
    fleet.isCut = nullptr;
    fleet.run(30 * Period);
    CHECK(fleet.isComplete());
}

TEST_CASE("a frozen member that resumes is accepted again and has dropped nobody itself")
{
    FakeFleet fleet(9);
    startAndConverge(fleet, 8, 2);
    fleet.nodes[0].frozen = true;
    fleet.run(60 * Period);
    CHECK(fleet.seenLiveBy(fleet.id(0)) == 0);
    fleet.nodes[0].frozen = false;
    fleet.run(10 * Period);
    CHECK(fleet.isComplete());
    for (const auto &event : fleet.events)
        CHECK_FALSE((event.observer == 0 && event.change == MemberChange::Died));
}

TEST_CASE("a member that was frozen with a pending suspicion does not act on it when it resumes")
{
    FakeFleet fleet(9);
    startAndConverge(fleet, 8, 2);
    fleet.nodes[1].frozen = true;
    fleet.run(3 * Period);
    REQUIRE(fleet.nodes[0].service->table().find(fleet.id(1))->state
            == Membership::MemberState::Suspect);
    fleet.nodes[1].frozen = false;
    fleet.nodes[0].frozen = true;
    fleet.run(60 * Period);
    fleet.nodes[0].frozen = false;
    fleet.run(10 * Period);
    for (const auto &event : fleet.events)
        CHECK_FALSE((event.observer == 0 && event.change == MemberChange::Died));
    CHECK(fleet.isComplete());
}

TEST_CASE("a short pause drops nobody")
{
    FakeFleet fleet(9);
    startAndConverge(fleet, 40, 2);
    fleet.nodes[0].frozen = true;
    fleet.run(4 * Period);
    fleet.nodes[0].frozen = false;
    fleet.run(20 * Period);
    CHECK(fleet.count(MemberChange::Died) == 0);
}

TEST_CASE("loss, delay and reordering drop no live member")
{
    FakeFleet fleet(GENERATE(13, 14, 15));
    startAndConverge(fleet, 60, 4);
    fleet.loss = 0.05;
    fleet.maxDelay = 250ms;
    fleet.run(200 * Period);
    CHECK(fleet.count(MemberChange::Died) == 0);
    // At most one suspicion per hundred probes; each suspicion is observed by all other members.
    const auto suspicions = fleet.count(MemberChange::Suspected) / 59;
    CHECK(suspicions <= 60 * 200 / 100);
}

TEST_CASE("a leaving member is distinguished from a failed one and suspected by nobody")
{
    FakeFleet fleet(15);
    startAndConverge(fleet, 8, 2);
    fleet.nodes[0].service->leave();
    fleet.run(2 * Period);
    fleet.kill(0);
    fleet.run(20 * Period);
    CHECK(fleet.count(MemberChange::Left) == 7);
    CHECK(fleet.count(MemberChange::Suspected) == 0);
    CHECK(fleet.count(MemberChange::Died) == 0);
}

TEST_CASE("a restarted member replaces the former process without a suspicion")
{
    FakeFleet fleet(17);
    startAndConverge(fleet, 8, 2);
    const auto former = fleet.id(0);
    const auto address = fleet.nodes[0].service->self().address;
    fleet.kill(0);
    const auto later = fleet.add("entry-0", 2, "harju-1", address);
    fleet.nodes[later].service->noteListed({fleet.nodes[1].service->self().address});
    fleet.run(6 * Period);
    CHECK(fleet.count(MemberChange::Suspected) == 0);
    CHECK(fleet.count(MemberChange::Replaced) > 0);
    CHECK(fleet.seenLiveBy(former) == 0);
    CHECK(fleet.seenLiveBy(fleet.id(later)) == 7);
}

TEST_CASE("another instance at a reused address is distinguished from the former one")
{
    FakeFleet fleet(19);
    startAndConverge(fleet, 8, 2);
    const auto former = fleet.id(0);
    const auto address = fleet.nodes[0].service->self().address;
    fleet.kill(0);
    const auto later = fleet.add("other", 1, "harju-1", address);
    fleet.run(20 * Period);
    CHECK(fleet.seenLiveBy(former) == 0);
    CHECK(fleet.seenLiveBy(fleet.id(later)) == 7);
    CHECK(fleet.count(MemberChange::Replaced) > 0);
}

TEST_CASE("two concurrent processes with one instance id are both kept as separate members")
{
    FakeFleet fleet(21);
    startAndConverge(fleet, 8, 2);
    const auto duplicate = fleet.add("entry-0", 2, "harju-1", "10.0.9.9:7000");
    fleet.nodes[duplicate].service->noteListed({fleet.nodes[1].service->self().address});
    fleet.run(40 * Period);
    CHECK(fleet.seenLiveBy(fleet.id(0)) == 8);
    CHECK(fleet.seenLiveBy(fleet.id(duplicate)) == 8);
    CHECK(fleet.nodes[0].service->laterIncarnationsSeen() > 0);
    CHECK(fleet.nodes[duplicate].service->laterIncarnationsSeen() == 0);
}

TEST_CASE("a data centre that is cut off keeps its own members and is found again")
{
    FakeFleet fleet(23);
    startAndConverge(fleet, 24, 4);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from % 4 == 0) != (to % 4 == 0); };
    fleet.run(120 * Period);
    CHECK(fleet.nodes[0].service->table().liveCount() == 5);
    CHECK(fleet.nodes[1].service->table().liveCount() == 17);
    fleet.isCut = nullptr;
    fleet.run(30 * Period);
    CHECK(fleet.isComplete());
}

TEST_CASE("a lagging list neither drops live members nor restores dropped ones")
{
    FakeFleet fleet(25);
    startAndConverge(fleet, 8, 2);
    fleet.list({"10.0.77.1:7000"});
    fleet.run(10 * Period);
    CHECK(fleet.isComplete());
    const auto failed = fleet.id(0);
    const auto address = fleet.nodes[0].service->self().address;
    fleet.kill(0);
    fleet.run(30 * Period);
    fleet.list({address});
    fleet.run(30 * Period);
    CHECK(fleet.seenLiveBy(failed) == 0);
}

TEST_CASE("a node's traffic stays within its budget and does not grow with the fleet")
{
    // The part of the control budget of 12 KB per second that remains after shared state, sent and
    // received.
    constexpr double MaxBytesPerSecond = 6'144;
    std::vector<double> rates;
    for (const std::size_t count : {20, 80}) {
        FakeFleet fleet(count);
        startAndConverge(fleet, count, 4);
        for (auto &node : fleet.nodes)
            node.bytesSent = node.bytesReceived = 0;
        fleet.run(30 * Period);
        double most = 0;
        double sum = 0;
        for (const auto &node : fleet.nodes) {
            const auto rate = static_cast<double>(node.bytesSent + node.bytesReceived) / 30;
            most = std::max(most, rate);
            sum += rate;
        }
        CHECK(most <= MaxBytesPerSecond);
        rates.push_back(sum / static_cast<double>(count));
    }
    // Only names and addresses, which get one digit longer, may increase the traffic.
    CHECK(rates[1] <= rates[0] * 1.1);
}
