#include <LibAccounting/UsageLedger.h>
#include <LibAccounting/UsageMeter.h>
#include <LibAccounting/UsageOutbox.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace Accounting;
using namespace std::chrono_literals;

namespace {

const Core::UpstreamGroupId group("engines");

std::vector<OwnedShare> evenShares(const Core::UpstreamGroupId &, std::uint64_t)
{
    return {{Core::TeamId("t0"), 333'333}, {Core::TeamId("t1"), 333'333}};
}

/// One instance with a meter and an outbox. It starts and finishes requests at random and tracks
/// the running ones independently.
struct Instance
{
    Instance(const Core::Clock &clock, int n)
        : meter(clock)
        , outbox(Core::InstanceId("i" + std::to_string(n)), 7)
    {
        meter.noteShare(group, 5);
    }

    void work(std::mt19937_64 &rng, TokenCounts &tokens)
    {
        const auto team = rng() % 3;
        const Core::TeamId id("t" + std::to_string(team));
        if (running[team] > 0 && rng() % 2 == 0) {
            const TokenCounts used {rng() % 5000, rng() % 5000, rng() % 300};
            tokens += used;
            meter.noteFinished(group, id, used);
            --running[team];
        } else if (running[0] + running[1] + running[2] < 5) {
            meter.noteStarted(group, id);
            ++running[team];
        }
    }

    UsageMeter meter;
    UsageOutbox outbox;
    std::array<int, 3> running {};
};

/// A log with simulated outages and lost acknowledgements.
struct FaultyLog
{
    void append(UsageOutbox &outbox, bool isUnavailable, bool isLast)
    {
        while (const auto batch = outbox.nextBatch(isLast && outbox.pending() == 0)) {
            if (isUnavailable)
                return;
            records.push_back(*batch);
            if (!isLast && rng() % 3 == 0)
                return; // Stored, but the acknowledgement is lost: the outbox sends it again.
            outbox.noteAppended();
            if (isLast && outbox.pending() == 0)
                return;
        }
    }

    std::vector<std::string> records;
    std::mt19937_64 rng {5};
};

} // namespace

TEST_CASE("the usage report is exact despite lost acknowledgements, duplicate appends and outages")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Core::ManualClock clock;
        std::mt19937_64 rng(seed);
        const auto start = clock.wallNow();
        const auto monotonicStart = clock.now();
        FaultyLog log;
        std::vector<std::unique_ptr<Instance>> instances;
        instances.reserve(3);
        for (int n = 0; n < 3; ++n)
            instances.push_back(std::make_unique<Instance>(clock, n));
        TokenCounts tokens;
        for (int step = 0; step < 3000; ++step) {
            clock.advance(std::chrono::microseconds(rng() % 70'000));
            instances[rng() % 3]->work(rng, tokens);
            if (step % 100 != 99)
                continue;
            const bool isUnavailable = step > 1000 && step < 2000;
            for (auto &it : instances) {
                it->outbox.add(it->meter.closeInterval(1));
                log.append(it->outbox, isUnavailable, false);
                // At most one unacknowledged and one unsent record, however long the outage.
                CHECK(it->outbox.pending() <= 2);
            }
        }
        for (auto &it : instances) {
            it->outbox.add(it->meter.closeInterval(1));
            log.append(it->outbox, false, true);
            log.append(it->outbox, false, true);
        }
        std::shuffle(log.records.begin(), log.records.end(), rng);
        UsageLedger ledger(evenShares, 10s);
        for (const auto &record : log.records)
            REQUIRE(ledger.apply(record).has_value());
        const auto report = ledger.report(start, clock.wallNow() + 20s);
        REQUIRE(report.groups.size() == 1);
        const auto &account = report.groups.front();
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(clock.now() - monotonicStart);
        CHECK(account.capacity == 15 * static_cast<std::uint64_t>(elapsed.count()));
        TokenCounts counted;
        SlotMicroseconds sum = 0;
        for (const auto &use : account.uses)
            counted += use.tokens;
        for (const auto &row : account.settlement.served)
            sum += row.slots;
        for (const auto &row : account.settlement.idle)
            sum += row.slots;
        CHECK(counted == tokens);
        CHECK(sum == account.capacity);
        CHECK(account.settlement.overrun == 0);
        CHECK(report.gaps.empty());
        CHECK(report.open.empty());
    }
}

TEST_CASE("a missing record shows as a gap, and a crash as an open incarnation")
{
    const auto batchOf = [](std::uint64_t sequence) {
        return encode({.instance = Core::InstanceId("i"),
                       .incarnation = 2,
                       .records = {{.sequence = sequence, .group = group, .capacity = 10}}});
    };
    UsageLedger ledger(evenShares, 10s);
    REQUIRE(ledger.apply(batchOf(1)).has_value());
    REQUIRE(ledger.apply(batchOf(4)).has_value());
    const auto report = ledger.report({}, Core::Clock::Wall(1h));
    REQUIRE(report.gaps.size() == 1);
    CHECK(report.gaps[0].firstSequence == 2);
    CHECK(report.gaps[0].count == 2);
    CHECK(report.open.size() == 1);
    CHECK(report.groups.front().capacity == 20);
}

TEST_CASE("bytes that are not a valid batch are rejected and do not change the ledger")
{
    std::mt19937_64 rng(9);
    const auto good = encode({.instance = Core::InstanceId("i"),
                              .incarnation = 2,
                              .records = {{.sequence = 1,
                                           .group = group,
                                           .capacity = 10,
                                           .uses = {{Core::TeamId("t0"), 4, {1, 2, 3}}}}}});
    REQUIRE(decodeUsageBatch(good).has_value());
    CHECK(encode(decodeUsageBatch(good).value()) == good);
    UsageLedger ledger(evenShares, 10s);
    CHECK_FALSE(ledger.apply("").has_value());
    for (std::size_t n = 0; n + 1 < good.size(); ++n)
        CHECK_FALSE(ledger.apply(std::string_view(good).substr(0, n / 2)).has_value());
    for (int n = 0; n < 2000; ++n) {
        auto bytes = good;
        bytes[rng() % bytes.size()] = static_cast<char>(rng());
        // Must be rejected or decoded without a fault; sanitizer builds detect invalid accesses.
        (void)decodeUsageBatch(bytes);
    }
    CHECK(ledger.report({}, Core::Clock::Wall(1h)).groups.empty());
}
