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

/// One controller on a manual clock, and what became of the tickets submitted to it.
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

    /// Releases the oldest granted request.
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

TEST_CASE("urgent work takes the next free slot in a flood of overnight work")
{
    Fixture f(4);
    for (int n = 0; n < 40; ++n)
        f.submit(n % 2 == 0 ? owner : other, overnight);
    REQUIRE(f.granted.size() == 4);
    f.submit(owner, urgent);
    f.releaseOldest();
    CHECK(f.granted.back().priorityClass == urgent);
}

TEST_CASE("overnight work keeps its floor in a flood of urgent work")
{
    Fixture f(10);
    for (int n = 0; n < 200; ++n)
        f.submit(n % 2 == 0 ? owner : other, urgent);
    for (int n = 0; n < 100; ++n)
        f.submit(n % 2 == 0 ? owner : other, overnight);
    for (int n = 0; n < 150; ++n) {
        f.clock.advance(10ms);
        f.releaseOldest();
    }
    const auto served = f.count(owner, overnight) + f.count(other, overnight);
    const double share = static_cast<double>(served) / static_cast<double>(f.granted.size());
    CHECK(share >= 0.2 * 0.9);
    CHECK(share <= 0.2 * 1.1);
}

TEST_CASE("idle capacity is lent, and its owner gets it back before the borrower gets more")
{
    Fixture f(8, 0.75);
    for (int n = 0; n < 20; ++n)
        f.submit(other, urgent);
    REQUIRE(f.count(other, urgent) == 8);
    CHECK(std::count_if(f.granted.begin(), f.granted.end(),
                        [](const auto &it) { return it.grant.borrowed; })
          == 6);
    for (int n = 0; n < 20; ++n)
        f.submit(owner, urgent);
    for (int n = 0; n < 6; ++n)
        f.releaseOldest();
    CHECK(f.count(owner, urgent) == 6);
    CHECK(f.count(other, urgent) == 8);
}

TEST_CASE("a borrower's preemptible work yields to the owner at once")
{
    Fixture f(4, 0.5);
    for (int n = 0; n < 8; ++n)
        f.submit(other, overnight, {.preemptible = true});
    REQUIRE(f.preempted.empty());
    f.submit(owner, overnight);
    REQUIRE(f.preempted.size() == 1);
    f.controller->release(f.preempted.front(), 1);
    CHECK(f.granted.back().team == owner);
}

TEST_CASE("a team below its own capacity finds a slot free beside a flood of borrowed work")
{
    Fixture f(40);
    for (int n = 0; n < 4; ++n)
        f.submit(owner, urgent);
    for (int n = 0; n < 100; ++n)
        f.submit(other, urgent);
    f.controller->tick();
    for (int n = 0; n < 8; ++n)
        f.releaseOldest();
    CHECK(f.controller->status(engines).running == 36);
    f.submit(owner, urgent);
    CHECK(f.granted.back().team == owner);
}

TEST_CASE("urgent work finds a slot free beside a flood of overnight work")
{
    Fixture f(40);
    for (int n = 0; n < 4; ++n)
        f.submit(owner, urgent);
    for (int n = 0; n < 100; ++n)
        f.submit(n % 2 == 0 ? owner : other, overnight);
    f.controller->tick();
    for (int n = 0; n < 8; ++n)
        f.releaseOldest();
    CHECK(f.controller->status(engines).running == 38);
    f.submit(other, urgent);
    CHECK(f.granted.back().priorityClass == urgent);
}

TEST_CASE("a team without the right to borrow stays within its own capacity")
{
    Fixture f(8, 0.25);
    f.policy.groups.front().teams.front().mayBorrow = false;
    f.restart();
    for (int n = 0; n < 8; ++n)
        f.submit(owner, urgent);
    CHECK(f.granted.size() == 2);
}

TEST_CASE("one flooding team leaves room in the queue for another")
{
    Fixture f(1, 0.5, 16);
    for (int n = 0; n < 1000; ++n)
        f.submit(other, overnight);
    CHECK(f.controller->status(engines).waiting == 8);
    CHECK(f.refusals.size() == 1000 - 9);
    CHECK(f.refusals.back() == Core::ErrorKind::Overloaded);
    f.submit(owner, overnight);
    CHECK(f.controller->status(engines).waiting == 9);
}

TEST_CASE("work that can not meet its target is refused early")
{
    Fixture f(1);
    const auto deadline = f.clock.now() + 100ms;
    f.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 60ms});
    f.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 60ms});
    f.submit(owner, urgent, {.deadline = deadline, .expectedFirstToken = 160ms});
    REQUIRE(f.refusals == std::vector {Core::ErrorKind::DeadlineUnreachable});
    f.clock.advance(41ms);
    f.controller->tick();
    CHECK(f.refusals.size() == 2);
    CHECK(f.granted.size() == 1);
}

TEST_CASE("a withdrawn request is never granted and frees its place")
{
    Fixture f(1);
    f.policy.limits = {{.team = owner, .concurrentRequests = 2}};
    f.restart();
    f.submit(owner, urgent);
    const auto id = f.submit(owner, urgent);
    f.submit(owner, urgent);
    CHECK(f.refusals == std::vector {Core::ErrorKind::TeamLimitReached});
    CHECK(f.controller->withdraw(id));
    CHECK_FALSE(f.controller->withdraw(id));
    f.releaseOldest();
    CHECK(f.granted.size() == 1);
    f.submit(owner, urgent);
    CHECK(f.granted.size() == 2);
}

TEST_CASE("a team's rate over cut-off siblings adds up to its limit")
{
    constexpr std::uint32_t Limit = 80;
    std::size_t granted = 0;
    const std::vector<Core::InstanceId> names {Core::InstanceId("a"), Core::InstanceId("b"),
                                               Core::InstanceId("c")};
    for (const auto &name : names) {
        Core::ManualClock clock;
        Policy policy {.groups = {{.id = engines,
                                   .classes = {{.id = urgent}},
                                   .teams = {{.id = owner, .ownedShare = 1}},
                                   .slots = 1000}},
                       .limits = {{.team = owner, .requestsPerSecond = Limit}}};
        const auto controller = Controller::create(clock, {name, 1}, policy).value();
        controller->setSiblings(names);
        for (int n = 0; n < 1000; ++n) {
            controller->submit({.group = engines, .team = owner, .priorityClass = urgent},
                               [&](auto result) { granted += result.has_value(); });
        }
    }
    CHECK(granted == Limit);
}

TEST_CASE("slots follow the demand between siblings and come back when the link is cut")
{
    Core::ManualClock clock;
    Fixture layout(64);
    const std::vector<Core::InstanceId> names {Core::InstanceId("a"), Core::InstanceId("b")};
    const auto a = Controller::create(clock, {names[0], 1}, layout.policy).value();
    const auto b = Controller::create(clock, {names[1], 1}, layout.policy).value();
    a->setSiblings(names);
    b->setSiblings(names);
    for (int n = 0; n < 100; ++n)
        a->submit({.group = engines, .team = owner, .priorityClass = urgent}, [](auto) {});
    for (int n = 0; n < 10; ++n) {
        clock.advance(100ms);
        a->tick();
        b->tick();
        b->applySiblingReport(a->report(names[1]));
        a->applySiblingReport(b->report(names[0]));
        CHECK(a->status(engines).share + b->status(engines).share <= 64);
    }
    CHECK(a->status(engines).share > 48);
    CHECK(a->status(engines).running > 48);
    clock.advance(2s);
    CHECK(a->status(engines).share == 32);
    CHECK(b->status(engines).share == 32);
}

TEST_CASE("concurrent callers get one decision each and never more than the share runs")
{
    Core::ManualClock clock;
    Fixture layout(8, 0.5, 100000);
    const auto controller =
        Controller::create(clock, {Core::InstanceId("a"), 1}, layout.policy).value();
    std::atomic<int> running {0};
    std::atomic<int> decisions {0};
    std::atomic<int> faults {0};
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
                                       faults += ++running > 8;
                                       --running;
                                       controller->release(result.value().id, 1);
                                   });
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    CHECK(decisions == 2000);
    CHECK(faults == 0);
    CHECK(controller->status(engines).running == 0);
}
