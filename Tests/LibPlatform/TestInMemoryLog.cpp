#include <LibCore/ManualClock.h>
#include <LibPlatform/InMemoryLog.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("offsets continue after retention has dropped records")
{
    Core::ManualClock clock;
    Platform::InMemoryLog log(clock, 10s);
    CHECK(log.append("s", "a") == 0);
    clock.advance(6s);
    CHECK(log.append("s", "b") == 1);
    clock.advance(6s);
    const auto page = log.read("s", 0, 10);
    CHECK(page.first == 1);
    CHECK(page.next == 2);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().data == "b");
    clock.advance(20s);
    CHECK(log.read("s", 0, 10).records.empty());
    CHECK(log.append("s", "c") == 2);
}

TEST_CASE("reads past the end are empty and limits hold")
{
    Core::ManualClock clock;
    Platform::InMemoryLog log(clock, 10s);
    for (int n = 0; n < 5; ++n)
        log.append("s", "x");
    CHECK(log.read("s", 99, 10).records.empty());
    CHECK(log.read("s", 1, 2).records.size() == 2);
    CHECK(log.read("other", 0, 2).next == 0);
}
