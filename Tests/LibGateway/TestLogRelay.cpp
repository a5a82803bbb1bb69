#include <LibCore/ManualClock.h>
#include <LibGateway/LogRelay.h>

#include <catch2/catch.hpp>

#include <string>

using namespace std::chrono_literals;
using Gateway::FleetPage;

TEST_CASE("the age of a relayed page includes its age at the sibling")
{
    Core::ManualClock clock;
    clock.advance(1h);
    FleetPage page;
    page.next = 9;
    page.asOf = clock.now() - 3s;
    page.lastStoreFailure = clock.now() - 10s;
    page.records.push_back({7, "a", "value"});
    page.records.push_back({8, "b", std::nullopt});
    const auto bytes = Gateway::LogRelay::encode(page, clock.now(), 200ms);
    const auto requestTime = clock.now() + 1min;
    const auto decoded = Gateway::LogRelay::decode(bytes, 7, requestTime).value();
    CHECK(decoded.asOf == requestTime + 200ms - 3s);
    CHECK(decoded.lastStoreFailure == requestTime + 200ms - 10s);
    CHECK(decoded.next == 9);
    REQUIRE(decoded.records.size() == 2);
    CHECK(decoded.records[0].value == "value");
    CHECK(decoded.records[1].position == 8);
    CHECK_FALSE(decoded.records[1].value);
    CHECK_FALSE(Gateway::LogRelay::decode("", 7, requestTime));
    CHECK_FALSE(Gateway::LogRelay::decode(bytes.substr(0, bytes.size() / 2), 7, requestTime));
}

TEST_CASE("a tail retains the newest records without a gap, up to its size limit")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::LogTail tail;
    CHECK_FALSE(tail.covers(0));
    FleetPage page;
    page.asOf = clock.now();
    for (std::uint64_t n = 4; n < 8; ++n)
        page.records.push_back({n, "key", std::to_string(n)});
    page.next = 8;
    tail.extend(4, page);
    CHECK_FALSE(tail.covers(3));
    CHECK(tail.covers(4));
    CHECK(tail.page(6).records.front().value == "6");
    // A duplicate page changes nothing.
    tail.extend(4, page);
    CHECK(tail.page(4).records.size() == 4);
    // A gap in the records starts a new tail.
    page.records = {{20, "key", "20"}};
    page.next = 21;
    tail.extend(20, page);
    CHECK_FALSE(tail.covers(8));
    CHECK(tail.next() == 21);
    // An incomplete page does not show that there are no newer records, so it does not update the
    // age.
    clock.advance(1s);
    page.records = {{21, "key", std::string(Gateway::LogTail::MaxBytes, 'x')}};
    page.next = 22;
    page.asOf = clock.now();
    page.isComplete = false;
    tail.extend(21, page);
    CHECK(tail.asOf() == clock.now() - 1s);
    CHECK_FALSE(tail.covers(20));
    CHECK(tail.covers(21));
}

TEST_CASE("a tail knows the newest record of each key after changes and deletions")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::LogTail tail;
    CHECK_FALSE(tail.hasNewest());
    FleetPage page;
    page.asOf = clock.now();
    page.next = 10;
    page.records = {{3, "a", "1"}, {8, "b", "1"}};
    tail.restart(page);
    CHECK(tail.newest().records.size() == 2);
    FleetPage changes;
    changes.asOf = clock.now();
    changes.records = {{10, "a", "2"}, {11, "b", std::nullopt}, {12, "c", "1"}};
    changes.next = 13;
    tail.extend(10, changes);
    const auto newest = tail.newest();
    REQUIRE(newest.records.size() == 2);
    CHECK(newest.records[0].value == "2");
    CHECK(newest.records[1].key == "c");
    CHECK(newest.next == 13);
    // A sibling's page may be older than what the tail held.
    FleetPage older = page;
    older.asOf = clock.now() - 1s;
    tail.restart(older);
    CHECK(tail.asOf() == older.asOf);
    CHECK(tail.next() == 10);
    // After a gap, records may be missing.
    changes.records = {{20, "d", "1"}};
    changes.next = 21;
    tail.extend(20, changes);
    CHECK_FALSE(tail.hasNewest());
}
