#include <LibCore/ManualClock.h>
#include <LibMembership/SharedStatePublisher.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

std::vector<SharedItem> randomItems(std::mt19937_64 &rng, std::size_t count)
{
    std::vector<SharedItem> items;
    for (std::size_t n = 0; n < count; ++n) {
        switch (rng() % 4) {
        case 0:
            items.emplace_back(PoisonCrash {rng() % 3, rng() % 4});
            break;
        case 1:
            items.emplace_back(UpstreamHealth {rng() % 3, rng() % 2, UpstreamCondition::Leaving});
            break;
        case 2:
            items.emplace_back(PrefixLocation {rng() % 5, rng() % 3, 1,
                                               static_cast<std::uint32_t>(1 + rng() % 100)});
            break;
        default:
            items.emplace_back(ConfigurationGeneration {static_cast<std::uint32_t>(rng() % 9), 7});
        }
    }
    return items;
}

std::vector<std::uint64_t> crashes(const SharedState &state, std::uint64_t digest)
{
    std::vector<std::uint64_t> seen;
    for (const auto &record : state.snapshotRecords(1U << 20)) {
        const auto item = itemFromWire(record);
        const auto *crash = std::get_if<PoisonCrash>(&*item);
        if (crash != nullptr && crash->requestDigest == digest)
            seen.push_back(crash->crash);
    }
    std::sort(seen.begin(), seen.end());
    return seen;
}

/// Returns all records of the state as sorted byte strings.
std::vector<std::string> sortedRecords(const SharedState &state)
{
    std::vector<std::string> all;
    for (const auto &record : state.snapshotRecords(1U << 20))
        all.emplace_back(reinterpret_cast<const char *>(&record), sizeof(record));
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace

TEST_CASE("each kind of item survives encoding and decoding")
{
    std::mt19937_64 rng(1);
    auto items = randomItems(rng, 50);
    items.emplace_back(TeamDemand {1, 2, 3, 4, 5});
    items.emplace_back(UpstreamLoad {1, 2, 3});
    for (const auto &item : items) {
        const auto back = itemFromWire(toWire(item, 9, 100ms));
        REQUIRE(back);
        CHECK(keyOf(*back) == keyOf(item));
        CHECK(defaultValue(*back) == defaultValue(item));
    }
    auto unknown = toWire(items.front(), 1, 0ms);
    unknown = Peer::Wire::SharedRecord(1, 2, 3, 4, 5, 6, 7, 200);
    CHECK_FALSE(itemFromWire(unknown));
}

TEST_CASE("shared state merges to the same content in any order and any number of times")
{
    const Core::ManualClock clock;
    std::mt19937_64 rng(2);
    for (int round = 0; round < 100; ++round) {
        std::vector<Peer::Wire::SharedRecord> records;
        for (int source = 0; source < 3; ++source) {
            SharedState state(clock, {}, {});
            for (const auto &item : randomItems(rng, 10))
                state.publish(item);
            for (const auto &record : state.snapshotRecords(1U << 20))
                records.push_back(record);
        }
        SharedState one(clock, {}, {});
        SharedState other(clock, {}, {});
        one.receive(records);
        std::shuffle(records.begin(), records.end(), rng);
        other.receive(records);
        other.receive(records);
        CHECK(sortedRecords(one) == sortedRecords(other));
    }
}

TEST_CASE("one crash that two instances saw counts once")
{
    const Core::ManualClock clock;
    SharedState left(clock, {}, {});
    SharedState right(clock, {}, {});
    left.publish(PoisonCrash {1, 10});
    right.publish(PoisonCrash {1, 10});
    right.publish(PoisonCrash {1, 11});
    left.receive(right.snapshotRecords(1'000));
    CHECK(crashes(left, 1) == std::vector<std::uint64_t> {10, 11});
}

TEST_CASE("the most valuable items are sent first, within the byte limit")
{
    const Core::ManualClock clock;
    SharedState state(clock, {}, {});
    for (std::uint32_t n = 1; n <= 100; ++n)
        state.publish(PrefixLocation {n, 1, 1, n});
    state.publish(ConfigurationGeneration {3, 7});
    state.publish(UpstreamHealth {1, 1, UpstreamCondition::Leaving});
    const auto records = state.pack(4 * SharedRecordBytes + 3);
    REQUIRE(records.size() == 4);
    CHECK(std::holds_alternative<ConfigurationGeneration>(*itemFromWire(records[0])));
    CHECK(std::holds_alternative<UpstreamHealth>(*itemFromWire(records[1])));
    CHECK(records[2].first() == 100);
}

TEST_CASE("a lower generation is never accepted, and an expired item is not accepted again")
{
    Core::ManualClock clock;
    SharedState state(clock, {}, {});
    state.publish(ConfigurationGeneration {5, 7});
    state.publish(ConfigurationGeneration {4, 6});
    SharedState behind(clock, {}, {});
    behind.publish(ConfigurationGeneration {3, 1});
    behind.publish(UpstreamHealth {1, 1, UpstreamCondition::Leaving});
    state.receive(behind.snapshotRecords(1'000));
    CHECK(state.snapshotRecords(1'000).front().first() == 5);
    CHECK(state.size() == 2);

    const auto late = behind.snapshotRecords(1'000);
    clock.advance(9s);
    SharedState fresh(clock, {}, {});
    auto aged = behind.snapshotRecords(1'000);
    clock.advance(2s);
    state.expire();
    CHECK(state.size() == 1);
    for (auto &record : aged)
        record = toWire(*itemFromWire(record), record.version(),
                        std::chrono::milliseconds(record.age_ms()) + 2s);
    fresh.receive(aged);
    CHECK_FALSE(fresh.knows(keyOf(UpstreamHealth {1, 1, UpstreamCondition::Leaving})));
    CHECK(fresh.size() == 1);
}

TEST_CASE("an update is sent a bounded number of times and never circulates")
{
    const Core::ManualClock clock;
    SharedStateSettings settings;
    SharedState left(clock, settings, {});
    SharedState right(clock, settings, {});
    left.publish(PrefixLocation {1, 1, 1, 50});
    unsigned sent = 0;
    for (int n = 0; n < 100; ++n) {
        const auto one = left.pack(1'000);
        right.receive(one);
        const auto other = right.pack(1'000);
        left.receive(other);
        sent += static_cast<unsigned>(one.size() + other.size());
    }
    CHECK(sent == 2 * settings.maxTransmissions);
}

TEST_CASE("the number of items is bounded, and the most valuable items are kept")
{
    const Core::ManualClock clock;
    SharedStateSettings settings;
    settings.maxItems = 100;
    SharedState state(clock, settings, {});
    state.publish(ConfigurationGeneration {3, 7});
    for (std::uint32_t n = 1; n <= 1'000; ++n) {
        state.publish(PrefixLocation {n, 1, 1, n});
        CHECK(state.size() <= settings.maxItems);
    }
    CHECK(state.knows(keyOf(ConfigurationGeneration {})));
    CHECK(state.knows(keyOf(PrefixLocation {1'000, 1, 1, 1})));
    CHECK_FALSE(state.knows(keyOf(PrefixLocation {1, 1, 1, 1})));
    CHECK(state.size() >= settings.maxItems / 2);
}

TEST_CASE("two instances that observe one item differently do not supersede each other forever")
{
    const Core::ManualClock clock;
    const SharedStateSettings settings;
    SharedState left(clock, settings, {});
    SharedState right(clock, settings, {});
    std::size_t sent = 0;
    for (std::uint32_t n = 0; n < 200; ++n) {
        left.publish(PrefixLocation {1, 1, 1, 100 + n % 3});
        left.publish(UpstreamHealth {1, 1, UpstreamCondition::Leaving});
        right.publish(PrefixLocation {1, 1, 1, 10 + n % 3});
        right.publish(UpstreamHealth {1, 1, UpstreamCondition::Failing});
        const auto one = left.pack(1'000);
        right.receive(one);
        const auto other = right.pack(1'000);
        left.receive(other);
        sent += one.size() + other.size();
    }
    // Two items at two instances, with one additional version each.
    CHECK(sent <= 8 * settings.maxTransmissions);
    CHECK(sortedRecords(left) == sortedRecords(right));
}

TEST_CASE("a publisher stays within its budget for any amount of new state")
{
    Core::ManualClock clock;
    std::mt19937_64 rng(4);
    SharedState state(clock, {}, {});
    PublisherSettings settings;
    settings.bytesPerSecond = GENERATE(0, 100, 300, 3'072);
    Member sibling;
    sibling.address = "sibling";
    std::size_t bytes = 0;
    SharedStatePublisher::Hooks hooks;
    hooks.siblings = [&sibling] { return std::vector<Member> {sibling}; };
    hooks.send = [&bytes](const std::string &, Peer::Body body) {
        // The frame adds its length field and authentication tag to the message.
        bytes += 20 + Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 0, body).size();
    };
    SharedStatePublisher publisher(clock, rng, state, Core::DataCentreId("harju-1"), settings,
                                   hooks);
    constexpr int Seconds = 30;
    for (int n = 0; n < Seconds * 20; ++n) {
        for (int more = 0; more < 50; ++more)
            state.publish(PrefixLocation {rng(), 1, 1, static_cast<std::uint32_t>(rng() % 1'000)});
        clock.advance(50ms);
        publisher.tick();
    }
    CHECK(bytes <= (Seconds + 1) * settings.bytesPerSecond);
    // A budget that is too small for one record sends nothing.
    CHECK((bytes >= Seconds * settings.bytesPerSecond / 2) == (settings.bytesPerSecond != 100));
}
