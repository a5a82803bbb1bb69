#include <LibAdmission/Controller.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace Admission;
using namespace std::chrono_literals;

namespace {

const Core::UpstreamGroupId engines("engines");
const Core::TeamId owner("owner");
const Core::TeamId other("other");
const Core::PriorityClassId urgent("urgent");
const Core::PriorityClassId overnight("overnight");

/// A controller on a manual clock that records the decisions on the submitted tickets.
struct Fixture
{
    explicit Fixture(std::uint32_t slots, double owned = 0.5, std::size_t queueLimit = 256)
    {
        policy.groups = {
            {.id = engines,
             .classes = {{.id = urgent, .queueLimit = queueLimit},
                         {.id = overnight,
                          .floorShare = 0.2,
                          .queueLimit = queueLimit,
                          .preemptible = true}},
             .teams = {{.id = owner, .ownedShare = owned}, {.id = other, .ownedShare = 1 - owned}},
             .slots = slots}};
        restart();
    }

    void restart()
    {
        controller = Controller::create(clock, {Core::InstanceId("a"), 1}, policy, [this](auto id) {
                         preempted.push_back(id);
                     }).value();
    }

    TicketId submit(const Core::TeamId &team, const Core::PriorityClassId &priorityClass,
                    Ticket ticket = {})
    {
        ticket.group = engines;
        ticket.team = team;
        ticket.priorityClass = priorityClass;
        return controller->submit(ticket, [this, team, priorityClass](auto result) {
            if (!result) {
                refusals.push_back(result.error().kind());
                CHECK(result.error().attempt() == Core::ExecutionStatus::NotRun);
                return;
            }
            granted.push_back({result.value(), team, priorityClass});
        });
    }

    struct Granted
    {
        Grant grant;
        Core::TeamId team;
        Core::PriorityClassId priorityClass;
    };

    std::size_t count(const Core::TeamId &team, const Core::PriorityClassId &priorityClass) const
    {
        return std::count_if(granted.begin(), granted.end(), [&](const auto &it) {
            return it.team == team && it.priorityClass == priorityClass;
        });
    }

    /// Releases the oldest granted request that has not been released yet.
    void releaseOldest()
    {
        const auto id = granted[released++].grant.id;
        controller->release(id, 1);
    }

    Core::ManualClock clock;
    Policy policy;
    std::unique_ptr<Controller> controller;
    std::vector<Granted> granted;
    std::vector<Core::ErrorKind> refusals;
    std::vector<TicketId> preempted;
    std::size_t released = 0;
};

} // namespace

TEST_CASE("an urgent request gets the next free slot ahead of queued overnight requests")
{
    Fixture fixture(4);
    for (int n = 0; n < 40; ++n)
        fixture.submit(n % 2 == 0 ? owner : other, overnight);
    REQUIRE(fixture.granted.size() == 4);
    fixture.submit(owner, urgent);
    fixture.releaseOldest();
    CHECK(fixture.granted.back().priorityClass == urgent);
}

TEST_CASE("overnight requests keep their floor share under a backlog of urgent requests")
{
    Fixture fixture(10);
    for (int n = 0; n < 200; ++n)
        fixture.submit(n % 2 == 0 ? owner : other, urgent);
    for (int n = 0; n < 100; ++n)
        fixture.submit(n % 2 == 0 ? owner : other, overnight);
    for (int n = 0; n < 150; ++n) {
        fixture.clock.advance(10ms);
        fixture.releaseOldest();
    }
    const auto served = fixture.count(owner, overnight) + fixture.count(other, overnight);
    const double share = static_cast<double>(served) / static_cast<double>(fixture.granted.size());
    CHECK(share >= 0.2 * 0.9);
    CHECK(share <= 0.2 * 1.1);
}

TEST_CASE("idle capacity is lent, and its owner gets it back before the borrower gets more")
{
    Fixture fixture(8, 0.75);
    for (int n = 0; n < 20; ++n)
        fixture.submit(other, urgent);
    REQUIRE(fixture.count(other, urgent) == 8);
    CHECK(std::count_if(fixture.granted.begin(), fixture.granted.end(),
                        [](const auto &it) { return it.grant.borrowed; })
          == 6);
    for (int n = 0; n < 20; ++n)
        fixture.submit(owner, urgent);
    for (int n = 0; n < 6; ++n)
        fixture.releaseOldest();
    CHECK(fixture.count(owner, urgent) == 6);
    CHECK(fixture.count(other, urgent) == 8);
}

TEST_CASE("a borrower's preemptible request is preempted at once for the owner")
{
    Fixture fixture(4, 0.5);
    for (int n = 0; n < 8; ++n)
        fixture.submit(other, overnight, {.preemptible = true});
    REQUIRE(fixture.preempted.empty());
    fixture.submit(owner, overnight);
    REQUIRE(fixture.preempted.size() == 1);
    fixture.controller->release(fixture.preempted.front(), 1);
    CHECK(fixture.granted.back().team == owner);
}

TEST_CASE("a slot is kept free of borrowed work for a team below its own capacity")
{
    Fixture fixture(40);
    for (int n = 0; n < 4; ++n)
        fixture.submit(owner, urgent);
    for (int n = 0; n < 100; ++n)
        fixture.submit(other, urgent);
    fixture.controller->tick();
    for (int n = 0; n < 8; ++n)
        fixture.releaseOldest();
    CHECK(fixture.controller->status(engines).running == 36);
    fixture.submit(owner, urgent);
    CHECK(fixture.granted.back().team == owner);
}

TEST_CASE("a slot is kept free of overnight work for urgent requests")
{
    Fixture fixture(40);
    for (int n = 0; n < 4; ++n)
        fixture.submit(owner, urgent);
    for (int n = 0; n < 100; ++n)
        fixture.submit(n % 2 == 0 ? owner : other, overnight);
    fixture.controller->tick();
    for (int n = 0; n < 8; ++n)
        fixture.releaseOldest();
    CHECK(fixture.controller->status(engines).running == 38);
    fixture.submit(other, urgent);
    CHECK(fixture.granted.back().priorityClass == urgent);
}

TEST_CASE("a team without the right to borrow stays within its own capacity")
{
    Fixture fixture(8, 0.25);
    fixture.policy.groups.front().teams.front().mayBorrow = false;
    fixture.restart();
    for (int n = 0; n < 8; ++n)
        fixture.submit(owner, urgent);
    CHECK(fixture.granted.size() == 2);
}

TEST_CASE("a burst of one team leaves room in the queue for another team")
{
    Fixture fixture(1, 0.5, 16);
    for (int n = 0; n < 1000; ++n)
        fixture.submit(other, overnight);
    CHECK(fixture.controller->status(engines).waiting == 8);
    CHECK(fixture.refusals.size() == 1000 - 9);
    CHECK(fixture.refusals.back() == Core::ErrorKind::Overloaded);
    fixture.submit(owner, overnight);
    CHECK(fixture.controller->status(engines).waiting == 9);
}

TEST_CASE("requests that cannot meet their deadline are refused early")
{
    Fixture fixture(1);
    const auto deadline = fixture.clock.now() + 100ms;
    fixture.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 60ms});
    fixture.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 60ms});
    fixture.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 160ms});
    REQUIRE(fixture.refusals == std::vector {Core::ErrorKind::DeadlineUnreachable});
    fixture.clock.advance(41ms);
    fixture.controller->tick();
    CHECK(fixture.refusals.size() == 2);
    CHECK(fixture.granted.size() == 1);
}

TEST_CASE("a withdrawn request is never granted and frees its place")
{
    Fixture fixture(1);
    fixture.policy.limits = {{.team = owner, .concurrentRequests = 2}};
    fixture.restart();
    fixture.submit(owner, urgent);
    const auto id = fixture.submit(owner, urgent);
    fixture.submit(owner, urgent);
    CHECK(fixture.refusals == std::vector {Core::ErrorKind::TeamLimitReached});
    CHECK(fixture.controller->withdraw(id));
    CHECK_FALSE(fixture.controller->withdraw(id));
    fixture.releaseOldest();
    CHECK(fixture.granted.size() == 1);
    fixture.submit(owner, urgent);
    CHECK(fixture.granted.size() == 2);
}

TEST_CASE("the rates of a team at partitioned siblings add up to its limit")
{
    constexpr std::uint32_t Limit = 80;
    std::size_t granted = 0;
    const std::vector<Core::InstanceId> instanceIds {Core::InstanceId("a"), Core::InstanceId("b"),
                                                     Core::InstanceId("c")};
    for (const auto &instanceId : instanceIds) {
        Core::ManualClock clock;
        Policy policy {.groups = {{.id = engines,
                                   .classes = {{.id = urgent}},
                                   .teams = {{.id = owner, .ownedShare = 1}},
                                   .slots = 1000}},
                       .limits = {{.team = owner, .requestsPerSecond = Limit}}};
        const auto controller = Controller::create(clock, {instanceId, 1}, policy).value();
        controller->setSiblings(instanceIds);
        for (int n = 0; n < 1000; ++n) {
            controller->submit({.group = engines, .team = owner, .priorityClass = urgent},
                               [&](auto result) { granted += result.has_value(); });
        }
    }
    CHECK(granted == Limit);
}

TEST_CASE("slots are lent according to demand and return when the siblings are partitioned")
{
    Core::ManualClock clock;
    Fixture fixture(64);
    const std::vector<Core::InstanceId> instanceIds {Core::InstanceId("a"), Core::InstanceId("b")};
    const auto a = Controller::create(clock, {instanceIds[0], 1}, fixture.policy).value();
    const auto b = Controller::create(clock, {instanceIds[1], 1}, fixture.policy).value();
    a->setSiblings(instanceIds);
    b->setSiblings(instanceIds);
    for (int n = 0; n < 100; ++n)
        a->submit({.group = engines, .team = owner, .priorityClass = urgent}, [](auto) {});
    for (int n = 0; n < 10; ++n) {
        clock.advance(100ms);
        a->tick();
        b->tick();
        b->applySiblingReport(a->report(instanceIds[1]));
        a->applySiblingReport(b->report(instanceIds[0]));
        CHECK(a->status(engines).share + b->status(engines).share <= 64);
    }
    CHECK(a->status(engines).share > 48);
    CHECK(a->status(engines).running > 48);
    clock.advance(2s);
    CHECK(a->status(engines).share == 32);
    CHECK(b->status(engines).share == 32);
}

TEST_CASE("concurrent requests get one decision each and never exceed the share")
{
    Core::ManualClock clock;
    Fixture fixture(8, 0.5, 100000);
    const auto controller =
        Controller::create(clock, {Core::InstanceId("a"), 1}, fixture.policy).value();
    std::atomic<int> running {0};
    std::atomic<int> decisions {0};
    std::atomic<int> violations {0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; k < 500; ++k) {
                controller->submit({.group = engines,
                                    .team = n % 2 == 0 ? owner : other,
                                    .priorityClass = k % 2 == 0 ? urgent : overnight},
                                   [&](auto result) {
                                       ++decisions;
                                       if (!result)
                                           return;
                                       violations += ++running > 8;
                                       --running;
                                       controller->release(result.value().id, 1);
                                   });
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    CHECK(decisions == 2000);
    CHECK(violations == 0);
    CHECK(controller->status(engines).running == 0);
}
