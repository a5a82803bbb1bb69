#include <LibGateway/LogTail.h>
#include <LibGateway/OrderLease.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Gateway::LogPosition;
using Gateway::OrderLease;

TEST_CASE("positions of a later era come after all earlier ones, also as numbers")
{
    const LogPosition low(1, LogPosition::MaxOffset);
    const LogPosition high(2, 0);
    CHECK(low < high);
    CHECK(low.number() < high.number());
    CHECK(LogPosition::fromNumber(low.number()) == low);
    CHECK(LogPosition::fromNumber(high.number()) == high);
    CHECK(LogPosition(41).number() == 41);
    constexpr auto MaxExactInDouble = std::uint64_t {1} << 53;
    CHECK(OrderLease::tokenOf({LogPosition::MaxEra, LogPosition::MaxOffset}) <= MaxExactInDouble);
}

TEST_CASE("an instance answers siblings of another era that it does not have their records")
{
    Gateway::FleetPage page;
    page.next = LogPosition(1, 8);
    page.asOf = Core::Clock::Monotonic(1h);
    for (std::uint64_t n = 4; n < 8; ++n)
        page.records.push_back({LogPosition(1, n), "key", "value"});
    Gateway::LogTail tail;
    tail.extend({1, 4}, page);
    CHECK(tail.covers({1, 6}));
    CHECK_FALSE(tail.covers({2, 6}));
    CHECK_FALSE(tail.covers({0, 6}));
    // A page of the new era replaces the tail, and a late one of the old era changes nothing.
    Gateway::FleetPage next;
    next.next = LogPosition(2, 1);
    next.asOf = Core::Clock::Monotonic(2h);
    next.records.push_back({LogPosition(2, 0), "key", "newer"});
    tail.extend({2, 0}, next);
    page.asOf = Core::Clock::Monotonic(3h);
    tail.extend({1, 4}, page);
    CHECK(tail.next() == LogPosition(2, 1));
    CHECK(tail.asOf() == Core::Clock::Monotonic(2h));
    REQUIRE(tail.page({2, 0}).records.size() == 1);
    CHECK(tail.page({2, 0}).records.front().value == "newer");
}
