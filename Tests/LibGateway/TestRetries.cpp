#include <LibCore/ManualClock.h>
#include <LibGateway/PoisonRequestTable.h>
#include <LibGateway/RetryBudgetShare.h>

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace std::chrono_literals;

TEST_CASE("repeats of all instances stay within the bound in every window, under failing upstreams")
{
    // Every request fails and wants a repeat: the most that instances can press for.
    constexpr unsigned Instances = 8;
    const Gateway::RetryBudgetLimits bounds {0.2, 52, 10s};
    for (const unsigned perSecond : {0U, 5U, 40U}) {
        Core::ManualClock clock;
        clock.advance(1h + 370ms);
        std::vector<Gateway::RetryBudgetShare> allowances(Instances);
        std::deque<std::pair<Core::Clock::Monotonic, bool>> events;
        constexpr auto Step = 50ms;
        for (int step = 0; step < 1'200; ++step) {
            clock.advance(Step);
            for (auto &allowance : allowances) {
                const auto requests = (step + 1) * perSecond / 20 - step * perSecond / 20;
                for (unsigned n = 0; n < requests; ++n) {
                    allowance.noteRequest(clock.now());
                    events.emplace_back(clock.now(), false);
                }
                while (allowance.tryRepeat(bounds, Instances, clock.now()))
                    events.emplace_back(clock.now(), true);
            }
            while (!events.empty() && events.front().first <= clock.now() - bounds.window)
                events.pop_front();
            double repeats = 0;
            double sent = 0;
            for (const auto &[time, isRepeat] : events)
                (isRepeat ? repeats : sent) += 1;
            REQUIRE(repeats <= bounds.ratio * sent + bounds.slack);
        }
    }
}

TEST_CASE("an instance alone may use what is left of the slack")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::RetryBudgetShare allowance;
    int repeats = 0;
    while (allowance.tryRepeat({0.2, 52, 10s}, 1, clock.now()))
        ++repeats;
    CHECK(repeats >= 30);
    CHECK(repeats <= 52);
    clock.advance(12s);
    CHECK(allowance.tryRepeat({0.2, 52, 10s}, 1, clock.now()));
}

TEST_CASE("an instance that does not know the members has no part of the slack")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::RetryBudgetShare allowance;
    CHECK_FALSE(allowance.tryRepeat({0.2, 52, 10s}, std::nullopt, clock.now()));
    for (int n = 0; n < 20; ++n)
        allowance.noteRequest(clock.now());
    CHECK(allowance.tryRepeat({0.2, 52, 10s}, std::nullopt, clock.now()));
}

TEST_CASE("a request is poison after three breaks, another request is not, and memory is bounded")
{
    Core::ManualClock clock;
    Gateway::PoisonRequestTable ledger;
    const auto digest = Gateway::requestDigest("/a", "liit", "body");
    CHECK(digest != Gateway::requestDigest("/a", "kool", "body"));
    CHECK(digest != Gateway::requestDigest("/b", "liit", "body"));
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(ledger.isPoison(digest, clock.now()));
        ledger.noteUpstreamFailure(digest, clock.now());
    }
    CHECK(ledger.isPoison(digest, clock.now()));
    CHECK_FALSE(ledger.isPoison(digest + 1, clock.now()));
    for (std::uint64_t n = 0; n < 20'000; ++n) {
        clock.advance(1ms);
        ledger.noteUpstreamFailure(n + 1'000'000, clock.now());
    }
    CHECK(ledger.size() <= 10'000);
}
