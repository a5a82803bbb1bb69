#include <LibCore/ManualClock.h>
#include <LibGateway/OrderLease.h>

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using Gateway::OrderLease;

TEST_CASE("a lease counts from before it was asked for and ends by itself")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("a"), 3'000ms);
    CHECK(lease.mayTake(clock.now()));
    const auto asked = clock.now();
    // The process stood still while the answer was on its way.
    clock.advance(2s);
    lease.noteTaken(7, asked);
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    lease.noteTaken(8, clock.now());
    CHECK(lease.token(clock.now(), 300ms) == 9);
    clock.advance(OrderLease::Duration);
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    CHECK(lease.mayTake(clock.now()));
}

TEST_CASE("another instance waits for the lease's end and the distance between holders")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("b"), 3'000ms);
    lease.noteRecord(5, Core::InstanceId("a"), clock.now());
    clock.advance(OrderLease::Duration + 3'000ms);
    CHECK_FALSE(lease.mayTake(clock.now()));
    lease.noteRecord(6, Core::InstanceId("a"), clock.now());
    clock.advance(OrderLease::Duration + 3'500ms);
    CHECK(lease.mayTake(clock.now()));
}

TEST_CASE("a lease that another took over gives no token any more")
{
    Core::ManualClock clock;
    OrderLease lease(Core::InstanceId("a"), 3'000ms);
    lease.noteTaken(5, clock.now());
    CHECK(lease.token(clock.now(), 0ms).has_value());
    lease.noteRecord(6, Core::InstanceId("b"), clock.now());
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
    // A record that is read late changes nothing.
    lease.noteRecord(4, Core::InstanceId("a"), clock.now());
    CHECK_FALSE(lease.token(clock.now(), 0ms).has_value());
}

TEST_CASE("holders never share a token, and follow each other at the distance, whatever is late")
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
            instances[n].lease =
                std::make_unique<OrderLease>(Core::InstanceId(std::to_string(n)), 3'000ms);
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
                // Records are seen late now and then.
                while (instance.read < log.size() && chance(70)) {
                    instance.lease->noteRecord(instance.read,
                                               Core::InstanceId(std::to_string(log[instance.read])),
                                               clock.now());
                    ++instance.read;
                }
                const auto asked = clock.now();
                if (instance.read == log.size() && instance.lease->mayTake(asked) && chance(10)) {
                    log.push_back(n);
                    if (chance(80)) {
                        instance.lease->noteTaken(log.size() - 1, asked);
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
