#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimWriter.h>
#include <LibClaims/ClaimWriterSelection.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Claims;
using namespace std::chrono_literals;

namespace {

ClaimRecord claim(std::uint64_t sequence)
{
    const ClaimKey key {Core::TeamId("t"), "k" + std::to_string(sequence), {}};
    return {RecordKind::Claim, key, 0, {1, sequence}, {Core::InstanceId("i"), 1}};
}

std::size_t recordsIn(const AppendBatch &batch)
{
    return decodeBatch(batch.data).value().size();
}

/// Returns the number of appends made for claims that arrive at the given rate for ten seconds.
std::uint64_t appendsAt(std::uint64_t claimsPerSecond)
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({}, 16, counters);
    for (std::uint64_t n = 0; n < claimsPerSecond * 10; ++n) {
        writer.enqueue(n % 16, claim(n), clock.now());
        clock.advance(std::chrono::nanoseconds(1s) / claimsPerSecond);
        for (const auto &it : writer.poll(clock.now()))
            writer.onResult(it.id, true, clock.now());
    }
    return counters.appends;
}

} // namespace

TEST_CASE("a batch is appended when it reaches its maximum size or age")
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({.maxAge = 5ms, .maxRecords = 3}, 1, counters);
    writer.enqueue(0, claim(1), clock.now());
    CHECK(writer.poll(clock.now()).empty());
    CHECK(writer.nextDeadline(clock.now()) == clock.now() + 5ms);
    writer.enqueue(0, claim(2), clock.now());
    writer.enqueue(0, claim(3), clock.now());
    auto batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    CHECK(recordsIn(batches.front()) == 3);
    writer.enqueue(0, claim(4), clock.now());
    clock.advance(5ms);
    batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    CHECK(recordsIn(batches.front()) == 1);
}

TEST_CASE("finished records are appended with the next claim, or alone after their maximum age")
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({}, 1, counters);
    auto finished = claim(1);
    finished.kind = RecordKind::Finished;
    writer.enqueue(0, finished, clock.now());
    clock.advance(249ms);
    CHECK(writer.poll(clock.now()).empty());
    writer.enqueue(0, claim(2), clock.now());
    clock.advance(2ms);
    auto batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    CHECK(recordsIn(batches.front()) == 2);
    writer.enqueue(0, finished, clock.now());
    clock.advance(250ms);
    CHECK(writer.poll(clock.now()).size() == 1);
}

TEST_CASE("appends stay within the rate limit at any claim rate")
{
    constexpr std::uint64_t RateBound = 10 * 40 + 20 + 1;
    CHECK(appendsAt(10) == 100);
    CHECK(appendsAt(200) <= RateBound);
    CHECK(appendsAt(5000) <= RateBound);
}

TEST_CASE("a failed append is repeated until its records are read back")
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({}, 1, counters);
    writer.enqueue(0, claim(1), clock.now());
    writer.enqueue(0, claim(2), clock.now());
    clock.advance(2ms);
    auto batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    writer.onResult(batches.front().id, false, clock.now());
    CHECK(writer.poll(clock.now()).empty());
    clock.advance(49ms);
    CHECK(writer.poll(clock.now()).empty());
    // Reading a record back shows that the log accepts appends, and ends the retry delay.
    writer.noteRead(0, RecordKind::Claim, {1, 1});
    batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    CHECK(recordsIn(batches.front()) == 1);
    writer.onResult(batches.front().id, true, clock.now());
    CHECK(writer.pendingCount() == 0);
}

TEST_CASE("a cancelled claim needs no void if it was not submitted, and is not repeated if it was")
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({}, 1, counters);
    writer.enqueue(0, claim(1), clock.now());
    CHECK(writer.cancelClaim(0, {1, 1}));
    writer.enqueue(0, claim(2), clock.now());
    clock.advance(2ms);
    const auto batches = writer.poll(clock.now());
    REQUIRE(batches.size() == 1);
    CHECK_FALSE(writer.cancelClaim(0, {1, 2}));
    writer.onResult(batches.front().id, false, clock.now());
    CHECK(writer.pendingCount() == 0);
}

TEST_CASE("writers are selected deterministically, and few partitions change writers if an "
          "instance leaves")
{
    std::vector<Core::InstanceId> live;
    live.reserve(340);
    for (int n = 0; n < 340; ++n)
        live.emplace_back("instance-" + std::to_string(n));
    std::size_t moved = 0;
    for (std::size_t partition = 0; partition < 64; ++partition) {
        const auto before = selectClaimWriters(partition, live, 2);
        REQUIRE(before.size() == 2);
        auto shuffled = live;
        std::reverse(shuffled.begin(), shuffled.end());
        CHECK(selectClaimWriters(partition, shuffled, 2) == before);
        shuffled.pop_back();
        moved += selectClaimWriters(partition, shuffled, 2) == before ? 0 : 1;
    }
    CHECK(moved <= 4);
    CHECK(selectClaimWriters(0, {}, 2).empty());
}
