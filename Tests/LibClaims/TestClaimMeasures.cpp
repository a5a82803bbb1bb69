#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimIndex.h>
#include <LibClaims/ClaimWriter.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <iostream>

using namespace Claims;
using namespace std::chrono_literals;

// Measures the figures in docs/design/at-most-once.md. Hidden from the default run; run them with
// TestLibClaims "[measure]".

namespace {

constexpr IssueTime Epoch(1'700'000'000'000ms);

ClaimRecord record(std::uint64_t n, RecordKind kind = RecordKind::Claim)
{
    const ClaimKey key {Core::TeamId("saskaloon-tickets"),
                        "0b5e7c7e-6a54-4f0e-9a35-" + std::to_string(100'000'000'000 + n), Epoch};
    return {kind, key, n, {n % 8, n}, {Core::InstanceId("instance-" + std::to_string(n % 8)), 1}};
}

/// Simulates 20 seconds of claims at a constant rate on one instance with the default batch
/// settings.
void measureBatches(std::uint64_t rate, std::size_t partitions)
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({}, partitions, counters);
    const auto claims = rate * 20;
    double totalWaitMs = 0;
    for (std::uint64_t n = 0; n < claims; ++n) {
        const auto partition = n * 7919 % partitions;
        writer.enqueue(partition, record(n), clock.now());
        const auto next = clock.now() + std::chrono::nanoseconds(1s) / rate;
        while (clock.now() < next) {
            for (const auto &it : writer.poll(clock.now()))
                writer.onResult(it.id, true, clock.now());
            const auto step = std::min<std::chrono::nanoseconds>(1ms, next - clock.now());
            totalWaitMs += static_cast<double>(writer.pendingCount())
                           * std::chrono::duration<double, std::milli>(step).count();
            clock.advance(step);
        }
    }
    std::cout << partitions << "  " << rate << "  " << static_cast<double>(counters.appends) / 20
              << "  " << static_cast<double>(counters.appends) / static_cast<double>(claims) << "  "
              << totalWaitMs / static_cast<double>(claims) << "  " << counters.appendBytes / claims
              << '\n';
}

/// Like measureBatches(), with four partitions and a finished record 50 ms after each claim.
void measureFinished(std::uint64_t rate, std::chrono::milliseconds maxFinishedAge)
{
    Core::ManualClock clock;
    ClaimCounters counters;
    ClaimWriter writer({.maxFinishedAge = maxFinishedAge}, 4, counters);
    const auto interval = std::chrono::nanoseconds(1s) / rate;
    const auto claims = rate * 20;
    const auto unfinishedCalls = static_cast<std::uint64_t>(50ms / interval) + 1;
    for (std::uint64_t n = 0; n < claims + unfinishedCalls; ++n) {
        if (n < claims)
            writer.enqueue(n * 7919 % 4, record(n), clock.now());
        for (auto remaining = interval; remaining > 0ns;
             remaining -= std::min<std::chrono::nanoseconds>(remaining, 1ms)) {
            for (const auto &it : writer.poll(clock.now()))
                writer.onResult(it.id, true, clock.now());
            clock.advance(std::min<std::chrono::nanoseconds>(remaining, 1ms));
        }
        if (n >= unfinishedCalls) {
            const auto it = n - unfinishedCalls;
            writer.enqueue(it * 7919 % 4, record(it, RecordKind::Finished), clock.now());
        }
    }
    std::cout << maxFinishedAge.count() << "  " << rate << "  "
              << static_cast<double>(counters.appends) / static_cast<double>(claims) << '\n';
}

} // namespace

TEST_CASE("appends per claim and wait before the append, by load", "[.measure]")
{
    std::cout << "partitions  claims/s  appends/s  appends/claim  mean wait ms  bytes/claim\n";
    for (const std::size_t partitions : {1, 4, 16}) {
        for (const std::uint64_t rate : {5, 20, 50, 200, 1000, 5000})
            measureBatches(rate, partitions);
    }
    std::cout << "finished age ms  claims/s  appends/claim including finished records\n";
    for (const auto age : {2ms, 250ms}) {
        for (const std::uint64_t rate : {5, 20, 50, 200, 1000, 5000})
            measureFinished(rate, age);
    }
}

TEST_CASE("index memory per key and time per record", "[.measure]")
{
    for (const std::uint64_t keys : {10'000, 100'000, 1'000'000}) {
        ClaimIndex index(KeyWindow::create(1h, 1min, 2h, 1min).value());
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t n = 0; n < keys; ++n) {
            index.apply(record(n), Epoch);
            index.apply(record(n, RecordKind::Finished), Epoch);
        }
        const std::chrono::duration<double, std::nano> time =
            std::chrono::steady_clock::now() - start;
        std::cout << keys << " keys: " << index.memoryBytes() / keys << " bytes per key, "
                  << time.count() / static_cast<double>(keys) / 2 << " ns per record\n";
    }
}

TEST_CASE("bytes per record in the log and time to decode", "[.measure]")
{
    for (const std::size_t count : {1, 16, 256}) {
        std::vector<ClaimRecord> records;
        for (std::size_t n = 0; n < count; ++n)
            records.push_back(record(n));
        const auto bytes = encodeBatch(records);
        const auto start = std::chrono::steady_clock::now();
        constexpr int Rounds = 1000;
        for (int n = 0; n < Rounds; ++n)
            REQUIRE(decodeBatch(bytes));
        const std::chrono::duration<double, std::nano> time =
            std::chrono::steady_clock::now() - start;
        std::cout << count << " records: " << bytes.size() / count << " bytes per record, "
                  << time.count() / Rounds / static_cast<double>(count) << " ns per record\n";
    }
}
