#include <LibCore/ManualClock.h>
#include <LibGateway/RetryBudgetShare.h>

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace std::chrono_literals;

TEST_CASE("retries of all instances stay within the limit in every window while upstreams fail")
{
    // Every request fails and is retried, which is the maximum demand on the budget.
    constexpr unsigned Instances = 8;
    const Gateway::RetryBudgetLimits limits {0.2, 52, 10s};
    for (const unsigned perSecond : {0U, 5U, 40U}) {
        Core::ManualClock clock;
        clock.advance(1h + 370ms);
        std::vector<Gateway::RetryBudgetShare> shares(Instances);
        std::deque<std::pair<Core::Clock::Monotonic, bool>> events;
        constexpr auto Step = 50ms;
        for (int step = 0; step < 1'200; ++step) {
            clock.advance(Step);
            for (auto &share : shares) {
                const auto requests = (step + 1) * perSecond / 20 - step * perSecond / 20;
                for (unsigned n = 0; n < requests; ++n) {
                    share.noteRequest(clock.now());
                    events.emplace_back(clock.now(), false);
                }
                while (share.tryRepeat(limits, 1.0 / Instances, clock.now()))
                    events.emplace_back(clock.now(), true);
            }
            while (!events.empty() && events.front().first <= clock.now() - limits.window)
                events.pop_front();
            double repeats = 0;
            double sent = 0;
            for (const auto &[time, isRepeat] : events)
                (isRepeat ? repeats : sent) += 1;
            REQUIRE(repeats <= limits.ratio * sent + limits.slack);
        }
    }
}

TEST_CASE("a single instance may use most of the slack")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::RetryBudgetShare share;
    int repeats = 0;
    while (share.tryRepeat({0.2, 52, 10s}, 1, clock.now()))
        ++repeats;
    CHECK(repeats >= 30);
    CHECK(repeats <= 52);
    clock.advance(12s);
    CHECK(share.tryRepeat({0.2, 52, 10s}, 1, clock.now()));
}

TEST_CASE("an instance without a part of the slack repeats within the ratio of its requests")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::RetryBudgetShare share;
    CHECK_FALSE(share.tryRepeat({0.2, 52, 10s}, 0, clock.now()));
    for (int n = 0; n < 20; ++n)
        share.noteRequest(clock.now());
    CHECK(share.tryRepeat({0.2, 52, 10s}, 0, clock.now()));
}
