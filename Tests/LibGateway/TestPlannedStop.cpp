#include <LibGateway/PlannedStop.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Gateway::PlannedStop;

namespace {

constexpr Core::Clock::Monotonic Begin {1h};

PlannedStop begun(std::chrono::milliseconds grace)
{
    PlannedStop stop;
    stop.begin(Begin, grace);
    return stop;
}

} // namespace

TEST_CASE("an instance that does not stop refuses and cuts nothing")
{
    const PlannedStop stop;
    CHECK(!stop.hasBegun());
    CHECK(!stop.isNoticed(Begin));
    CHECK(!stop.refuses(Begin, 24h));
    CHECK(!stop.mayCut(Begin, 24h));
}

TEST_CASE("requests are served until callers have noticed the stop, however long they may take")
{
    const auto grace = GENERATE(1s, 4s, 8s, 30s, 600s);
    const auto stop = begun(grace);
    const auto noticed = Begin + std::min<std::chrono::milliseconds>(2'300ms, grace - 500ms) - 1ms;
    CHECK(!stop.refuses(Begin, 24h));
    CHECK(!stop.refuses(noticed, 24h));
    CHECK(!stop.mayCut(noticed, 24h));
}

// Guards against requests that are accepted late in the grace period and cut at its end.
TEST_CASE("after callers have noticed the stop, no request is taken or sent that may be cut")
{
    const auto grace = GENERATE(1s, 4s, 8s, 30s, 600s);
    const auto stop = begun(grace);
    CHECK(stop.requestsEnd() < stop.exit());
    CHECK(stop.exit() < Begin + grace);
    for (auto elapsed = 3'000ms; elapsed < grace + 1s; elapsed += 100ms) {
        const auto now = Begin + elapsed;
        for (auto timeLeft = 0ms; timeLeft < 20s; timeLeft += 500ms) {
            if (now + timeLeft <= stop.requestsEnd())
                continue;
            CHECK(stop.refuses(now, timeLeft));
            CHECK(stop.mayCut(now, timeLeft));
        }
    }
}

TEST_CASE("a request that was accepted is sent as long as it ends within the grace period")
{
    const auto stop = begun(8s);
    CHECK(!stop.mayCut(Begin + 5s, 2'500ms));
    CHECK(stop.mayCut(Begin + 5s, 2'501ms));
    // New ones are refused earlier, so that the process can exit.
    CHECK(stop.refuses(Begin + 5s, 100ms));
    const auto longStop = begun(60s);
    CHECK(!longStop.refuses(Begin + 40s, 12s));
    CHECK(longStop.refuses(Begin + 50s, 12s));
}
