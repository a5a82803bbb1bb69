#include "HangingLog.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/OrderLease.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::OrderLease;
using GatewayTests::HangingLog;

namespace {

constexpr auto LeaseTime = 3'000ms;

} // namespace

TEST_CASE("the lease is renewed although the journal's long poll hangs while others write")
{
    Core::ManualClock clock;
    clock.advance(1h);
    HangingLog log;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings settings;
    settings.instance = Core::InstanceId("a");
    Gateway::FleetMembers members({settings.instance, "a", {}}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, members);
    asio::io_context context;
    asio::co_spawn(context, journal.watch(), asio::detached);
    bool isTaken = false;
    bool isRenewed = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            isTaken = co_await journal.takeLease();
            log.records.emplace_back("what another instance wrote");
            clock.advance(1s);
            // The first attempt fails because the end of the log has moved, and reads the new
            // records.
            isRenewed = co_await journal.takeLease();
            if (!isRenewed)
                isRenewed = co_await journal.takeLease();
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(isTaken);
    CHECK(isRenewed);
    CHECK(journal.lease().token(clock.now(), 300ms) == 3);
}

TEST_CASE("holders keep the interval that the settings name since a reload")
{
    Core::ManualClock clock;
    clock.advance(1h);
    HangingLog log;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings first;
    Gateway::GatewaySettings second;
    first.instance = Core::InstanceId("a");
    second.instance = Core::InstanceId("b");
    Gateway::FleetMembers members({second.instance, "a", {}}, clock);
    Gateway::FleetJournal holder(log, clock, first, poison, members);
    Gateway::FleetJournal next(log, clock, second, poison, members);
    asio::io_context context;
    asio::co_spawn(context, holder.watch(), asio::detached);
    asio::co_spawn(context, next.watch(), asio::detached);
    bool isTaken = false;
    bool isTakenEarly = true;
    bool isTakenLate = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            isTaken = co_await holder.takeLease();
            // The first attempt finds the holder's record.
            co_await next.takeLease();
            second.leaseTime = LeaseTime + 5'000ms;
            clock.advance(OrderLease::Duration + LeaseTime + 1s);
            isTakenEarly = co_await next.takeLease();
            clock.advance(5s);
            isTakenLate = co_await next.takeLease();
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(isTaken);
    CHECK_FALSE(isTakenEarly);
    CHECK(isTakenLate);
}

TEST_CASE("an instance announces itself again before the log drops its record")
{
    const Core::SuspensionAwareClock clock;
    HangingLog log;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings settings;
    settings.journalRetention = 100ms;
    Gateway::FleetMembers members({Core::InstanceId("a"), "north", {}}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, members);
    asio::io_context context;
    asio::co_spawn(context, journal.announce(), asio::detached);
    const auto begin = clock.now();
    while (log.records.size() < 3 && context.run_one_for(10s) > 0) { }
    CHECK(log.records.size() >= 3);
    CHECK(clock.now() - begin < 2 * settings.journalRetention);
}

TEST_CASE("a restarted instance learns members and poison requests from repeated announcements")
{
    Core::ManualClock clock;
    clock.advance(1h);
    HangingLog log;
    Gateway::GatewaySettings settings;
    Gateway::PoisonTable poison;
    const Http::Endpoint endpoint(asio::ip::make_address("10.0.0.1"), 700);
    Gateway::FleetMembers members({Core::InstanceId("a"), "north", endpoint}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, members);
    for (std::uint64_t crash = 1; crash <= 3; ++crash, clock.advance(500ms)) {
        poison.noteCasualty({crash, 42, {}, false, crash}, clock.now());
        poison.noteCasualty({crash, 42 + crash, {}, false, 10 + crash}, clock.now());
    }
    clock.advance(1s);
    poison.takeAnsweredSuspects(clock.now());

    Gateway::PoisonTable otherPoison;
    Gateway::FleetMembers otherMembers({Core::InstanceId("b"), "south", endpoint}, clock);
    Gateway::FleetJournal otherJournal(log, clock, settings, otherPoison, otherMembers);
    otherJournal.apply({9, {}, journal.announcement()});
    CHECK(otherMembers.count() == 2);
    CHECK(otherMembers.siblings().begin()->second.member.dataCentre == "north");
    CHECK(otherPoison.findPoison(std::vector<std::uint64_t> {42}, clock.now()));
    CHECK_FALSE(otherPoison.findPoison(std::vector<std::uint64_t> {43}, clock.now()));
    // Announcements do not prolong a conviction, or it would never expire.
    for (std::uint64_t offset = 10; offset < 10 + 11; ++offset) {
        clock.advance(1min);
        otherJournal.apply({offset, {}, journal.announcement()});
        journal.apply({offset, {}, otherJournal.announcement()});
    }
    CHECK_FALSE(otherPoison.findPoison(std::vector<std::uint64_t> {42}, clock.now()));
    CHECK(poison.causes(clock.now()).empty());
}

TEST_CASE("the journal does not count as read after an incomplete page")
{
    Core::ManualClock clock;
    clock.advance(1h);
    HangingLog log;
    log.recordsPerPage = 1;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings settings;
    settings.instance = Core::InstanceId("a");
    Gateway::FleetMembers members({settings.instance, "north", {}}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, members);
    const auto endpoint = Http::parseEndpoint("10.0.0.1:7000").value();
    for (const auto *name : {"b", "c", "d"}) {
        Gateway::FleetMembers others({Core::InstanceId(name), "north", endpoint}, clock);
        Gateway::FleetJournal other(log, clock, settings, poison, others);
        log.records.push_back(other.announcement());
    }
    asio::io_context context;
    std::vector<std::size_t> counts;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            while (!journal.hasRead()) {
                co_await journal.readOnce(0ms);
                counts.push_back(members.count());
            }
        },
        asio::detached);
    context.run();
    CHECK(counts == std::vector<std::size_t> {2, 3, 4});
}

TEST_CASE("a lease counts from before it was requested and expires by itself")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("a"));
    CHECK(lease.mayTake(clock.now(), LeaseTime));
    const auto requestTime = clock.now();
    // The process was suspended while the answer was on its way.
    clock.advance(2s);
    lease.noteTaken(7, requestTime);
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    lease.noteTaken(8, clock.now());
    CHECK(lease.token(clock.now(), 300ms) == 9);
    clock.advance(OrderLease::Duration);
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    CHECK(lease.mayTake(clock.now(), LeaseTime));
}

TEST_CASE("another instance waits for the lease to expire and for the interval between holders")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("b"));
    lease.noteRecord(5, Core::InstanceId("a"), clock.now());
    clock.advance(OrderLease::Duration + 3'000ms);
    CHECK_FALSE(lease.mayTake(clock.now(), LeaseTime));
    lease.noteRecord(6, Core::InstanceId("a"), clock.now());
    clock.advance(OrderLease::Duration + 3'500ms);
    CHECK(lease.mayTake(clock.now(), LeaseTime));
}

TEST_CASE("a lease that another instance acquired no longer returns a token")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("a"));
    lease.noteTaken(5, clock.now());
    CHECK(lease.token(clock.now(), 0ms).has_value());
    lease.noteRecord(6, Core::InstanceId("b"), clock.now());
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    // An older record that is read late changes nothing.
    lease.noteRecord(4, Core::InstanceId("a"), clock.now());
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
}

TEST_CASE("holders never share a token and keep the interval between them under any delays")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
        Core::ManualClock clock;
        clock.advance(1h);
        struct Instance
        {
            std::unique_ptr<OrderLease> lease;
            std::size_t read = 0;
            int frozenSteps = 0;
        };
        std::vector<Instance> instances(4);
        for (std::size_t n = 0; n < instances.size(); ++n)
            instances[n].lease = std::make_unique<OrderLease>(Core::InstanceId(std::to_string(n)));
        std::vector<std::size_t> log;
        std::size_t lastHolder = instances.size();
        std::uint64_t lastToken = 0;
        Core::Clock::Monotonic lastOrder;
        for (int step = 0; step < 2'000; ++step) {
            clock.advance(20ms);
            for (std::size_t n = 0; n < instances.size(); ++n) {
                auto &instance = instances[n];
                if (instance.frozenSteps > 0) {
                    --instance.frozenSteps;
                    continue;
                }
                if (chance(1))
                    instance.frozenSteps = static_cast<int>(random() % 400);
                // Records are sometimes read late.
                while (instance.read < log.size() && chance(70)) {
                    instance.lease->noteRecord(instance.read,
                                               Core::InstanceId(std::to_string(log[instance.read])),
                                               clock.now());
                    ++instance.read;
                }
                const auto requestTime = clock.now();
                if (instance.read == log.size() && instance.lease->mayTake(requestTime, LeaseTime)
                    && chance(10)) {
                    log.push_back(n);
                    if (chance(80)) {
                        instance.lease->noteTaken(log.size() - 1, requestTime);
                        instance.read = log.size();
                    }
                }
                const auto token = instance.lease->token(clock.now(), 300ms);
                if (!token)
                    continue;
                REQUIRE(*token >= lastToken);
                if (lastHolder != n && lastHolder != instances.size()) {
                    REQUIRE(*token > lastToken);
                    REQUIRE(clock.now() - lastOrder >= 3'000ms);
                }
                lastHolder = n;
                lastToken = *token;
                lastOrder = clock.now();
            }
        }
    }
}

TEST_CASE("a hub announces the members of its data centre, who announce themselves if it does not")
{
    Core::ManualClock clock;
    clock.advance(1h);
    HangingLog log;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings settings;
    settings.instance = Core::InstanceId("a0");
    settings.journalRetention = 20s;
    Gateway::FleetMembers members({settings.instance, "a", {}, 200}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, members);
    const auto endpoint = Http::parseEndpoint("10.0.0.1:7000").value();
    for (int n = 1; n < 20; ++n)
        members.noteDatagram({Core::InstanceId("a" + std::to_string(n)), "a", endpoint, 20});
    members.noteAnnounced({Core::InstanceId("a99"), "a", endpoint, 20});
    members.noteAnnounced({Core::InstanceId("b0"), "b", endpoint, 20});
    REQUIRE(members.isHub());
    CHECK(journal.isAnnouncementDue());

    // Another member reads the record of the hub.
    Gateway::GatewaySettings otherSettings = settings;
    otherSettings.instance = Core::InstanceId("a7");
    Gateway::FleetMembers otherMembers({otherSettings.instance, "a", endpoint, 20}, clock);
    Gateway::FleetJournal other(log, clock, otherSettings, poison, otherMembers);
    CHECK(other.isAnnouncementDue());
    // The first records may be those of an earlier process.
    other.apply({0, {}, journal.announcementForAll()});
    CHECK(other.isAnnouncementDue());
    asio::io_context context;
    asio::co_spawn(context, other.readOnce(0ms), asio::detached);
    context.run();
    other.apply({1, {}, journal.announcementForAll()});
    // The hub itself and the 18 others that it hears, but not the silent one or the one elsewhere.
    CHECK(otherMembers.count() == 20);
    CHECK_FALSE(otherMembers.siblings().contains(Core::InstanceId("a99")));
    CHECK_FALSE(other.isAnnouncementDue());
    // The hub announces it again in time.
    asio::co_spawn(context, journal.readOnce(0ms), asio::detached);
    context.restart();
    context.run();
    journal.apply({0, {}, journal.announcementForAll()});
    clock.advance(8s);
    otherMembers.noteDatagram(members.self());
    for (int n = 1; n < 20; ++n)
        members.noteDatagram({Core::InstanceId("a" + std::to_string(n)), "a", endpoint, 20});
    CHECK(journal.isAnnouncementDue());
    CHECK_FALSE(other.isAnnouncementDue());
    // It does not. A record is read through siblings up to 6 s after it was written, and the log
    // must not drop it before the member has announced itself.
    clock.advance(settings.journalRetention - 6s - 8s);
    otherMembers.noteDatagram(members.self());
    CHECK(other.isAnnouncementDue());
    other.apply({2, {}, other.announcement()});
    CHECK_FALSE(other.isAnnouncementDue());
}
