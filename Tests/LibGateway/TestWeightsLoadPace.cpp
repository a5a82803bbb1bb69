#include <LibCore/ManualClock.h>
#include <LibGateway/WeightsLoadPace.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Rolls weights over engines that share the bandwidth for `unhindered` concurrent loads, and
/// returns the time that engines spent loading. The roll has to end within the time limit.
std::chrono::milliseconds roll(Gateway::WeightsLoadPace &pace, Core::ManualClock &clock,
                               std::size_t engines, std::size_t unhindered,
                               double loadMilliseconds = 320,
                               std::chrono::milliseconds timeLimit = 1h)
{
    const auto end = clock.now() + timeLimit;
    struct Load
    {
        double left;
        std::chrono::milliseconds taken;
    };
    std::vector<Load> loads;
    std::size_t started = 0;
    std::chrono::milliseconds total {0};
    const auto outdated = [&] { return engines - started + loads.size(); };
    while (started < engines || !loads.empty()) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - clock.now());
        while (started < engines
               && loads.size() < pace.limit(engines, std::vector(outdated(), left))) {
            loads.push_back({loadMilliseconds, 0ms});
            ++started;
        }
        constexpr auto Step = 10ms;
        clock.advance(Step);
        const double speed = std::min(1.0, double(unhindered) / double(loads.size()));
        for (auto &load : loads) {
            load.left -= speed * double(Step.count());
            load.taken += Step;
        }
        std::erase_if(loads, [&](const Load &load) {
            if (load.left > 0)
                return false;
            pace.noteLoad(load.taken, engines, clock.now());
            total += load.taken;
            return true;
        });
    }
    return total;
}

} // namespace

TEST_CASE("the number of concurrent loads of weights follows what the engines' source bears")
{
    for (const auto &[engines, unhindered] :
         {std::pair<std::size_t, std::size_t> {18, 3}, {12, 3}, {60, 12}, {153, 30}, {200, 17}}) {
        Core::ManualClock clock;
        clock.advance(1h);
        Gateway::WeightsLoadPace pace;
        std::chrono::milliseconds total {0};
        for (int n = 0; n < 8; ++n)
            total = roll(pace, clock, engines, unhindered);
        CHECK(pace.limit(engines) >= unhindered / 2);
        // Half of the engines at once take many times as long each.
        CHECK(total < 2.2 * 320ms * static_cast<int>(engines));
    }
}

TEST_CASE("loads that do not slow each other down become more, but never all engines at once")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::WeightsLoadPace pace;
    const auto before = pace.limit(60);
    for (int n = 0; n < 6; ++n)
        roll(pace, clock, 60, 60);
    CHECK(pace.limit(60) > before);
    CHECK(pace.limit(60) <= 30);
    CHECK(pace.limit(1) == 1);
}

TEST_CASE("one slow load lowers the pace once")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::WeightsLoadPace pace;
    pace.noteLoad(300ms, 100, clock.now());
    const auto before = pace.limit(100);
    for (int n = 0; n < 10; ++n)
        pace.noteLoad(2'000ms, 100, clock.now());
    CHECK(pace.limit(100) >= before * 3 / 4);
    CHECK(pace.limit(100) < before);
    CHECK(pace.stuckAfter() >= 600ms);
}

TEST_CASE("a roll ends within the weights bound although earlier loads were slow")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::WeightsLoadPace pace;
    // An idle engine loads fast; those that finish their streams first take long.
    pace.noteLoad(370ms, 18, clock.now());
    for (int n = 0; n < 8; ++n) {
        clock.advance(1s);
        pace.noteLoad(2'500ms, 18, clock.now());
    }
    const auto start = clock.now();
    roll(pace, clock, 18, 18, 520, 6s);
    CHECK(clock.now() - start < 6s);
}

TEST_CASE("an engine that never gets its weights does not make half of the others load at once")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::WeightsLoadPace pace;
    for (int n = 0; n < 4; ++n)
        pace.noteLoad(300ms, 18, clock.now());
    std::vector<std::chrono::milliseconds> timesLeft(18, 6s);
    const auto before = pace.limit(18, timesLeft);
    timesLeft.front() = -60s;
    CHECK(pace.limit(18, timesLeft) == before);
    // Engines whose weights are too old serve nothing, so they need not wait for each other.
    CHECK(pace.limit(18, std::vector<std::chrono::milliseconds>(18, 0ms)) == 9);
}
