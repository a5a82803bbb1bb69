#include <LibAdmission/RetryBudget.h>
#include <LibAdmission/SuspectTable.h>
#include <LibAdmission/UpstreamCircuit.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace Admission;
using namespace std::chrono_literals;

TEST_CASE("retries stay within a share of the successes when upstreams fail")
{
    Core::ManualClock clock;
    RetryBudget budget({.share = 0.1, .minPerSecond = 1, .burst = 5});
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        clock.advance(1ms);
        budget.noteSuccess();
        retries += budget.tryRetry(clock.now());
    }
    // Retries are limited to a tenth of the successes plus the burst plus one per second.
    CHECK(retries >= 100);
    CHECK(retries <= 100 + 5 + 1);
    retries = 0;
    for (int n = 0; n < 10000; ++n) {
        clock.advance(1ms);
        retries += budget.tryRetry(clock.now());
    }
    CHECK(retries >= 9);
    CHECK(retries <= 10 + 5);
}

TEST_CASE("a failing upstream is probed by one request at a time")
{
    Core::ManualClock clock;
    std::mt19937_64 rng(1);
    UpstreamCircuit circuit({});
    for (int n = 0; n < 3; ++n) {
        CHECK(circuit.mayTry(clock.now()));
        circuit.noteFailure(clock.now(), rng);
    }
    CHECK_FALSE(circuit.mayTry(clock.now()));
    clock.advance(250ms);
    CHECK(circuit.mayTry(clock.now()));
    CHECK_FALSE(circuit.mayTry(clock.now()));
    circuit.noteFailure(clock.now(), rng);
    clock.advance(249ms);
    CHECK_FALSE(circuit.mayTry(clock.now()));
    clock.advance(251ms);
    CHECK(circuit.mayTry(clock.now()));
    circuit.abandonProbe();
    CHECK(circuit.mayTry(clock.now()));
    circuit.noteSuccess();
    CHECK(circuit.mayTry(clock.now()));
    CHECK(circuit.state() == CircuitState::Closed);
}

TEST_CASE("merging suspects is commutative and idempotent")
{
    Core::ManualClock clock;
    std::mt19937_64 rng(3);
    for (int round = 0; round < 200; ++round) {
        std::vector<SuspectRecord> records;
        for (int n = 0; n < 8; ++n) {
            SuspectTable source(clock, {});
            for (int k = 0; k < 4; ++k) {
                clock.advance(1s);
                const RequestDigest digest = rng() % 3;
                source.noteCrash(rng() % 6, std::span(&digest, 1));
                if (rng() % 5 == 0)
                    source.noteAnswered(digest);
            }
            const auto exported = source.records(100);
            records.insert(records.end(), exported.begin(), exported.end());
        }
        SuspectTable left(clock, {});
        SuspectTable right(clock, {});
        left.merge(records);
        left.merge(records);
        std::shuffle(records.begin(), records.end(), rng);
        for (const auto &it : records)
            right.merge(std::span(&it, 1));
        CHECK(left.records(100) == right.records(100));
    }
}

TEST_CASE("a poison request resent to several instances crashes a bounded number of upstreams")
{
    constexpr std::size_t Instances = 6;
    constexpr std::size_t Upstreams = 18;
    constexpr RequestDigest Poison = 999;
    std::size_t maxCrashedUpstreams = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Core::ManualClock clock;
        std::mt19937_64 rng(seed);
        std::vector<std::unique_ptr<SuspectTable>> tables;
        for (std::size_t n = 0; n < Instances; ++n)
            tables.push_back(std::make_unique<SuspectTable>(clock, SuspectSettings {}));
        std::size_t crashedUpstreams = 0;
        std::size_t refusedHarmless = 0;
        for (int resend = 0; resend < 40; ++resend) {
            clock.advance(1s);
            auto &table = *tables[rng() % Instances];
            // Harmless requests with the same prefix run on the same upstream.
            const std::vector<RequestDigest> harmlessRequests {rng() % 100, rng() % 100};
            if (table.check(Poison) != SuspectVerdict::Poison) {
                ++crashedUpstreams;
                std::vector<RequestDigest> running {Poison};
                for (const auto digest : harmlessRequests) {
                    // Two suspects never run on the same upstream.
                    if (table.check(digest) == SuspectVerdict::Clear)
                        running.push_back(digest);
                }
                table.noteCrash(rng() % Upstreams * 1000 + crashedUpstreams, running);
            }
            for (const auto digest : harmlessRequests) {
                refusedHarmless += table.check(digest) == SuspectVerdict::Poison;
                table.noteAnswered(digest);
            }
            for (const auto &sibling : tables)
                sibling->merge(table.records(64));
        }
        maxCrashedUpstreams = std::max(maxCrashedUpstreams, crashedUpstreams);
        CHECK(refusedHarmless == 0);
        CHECK(tables.front()->check(Poison) == SuspectVerdict::Poison);
        clock.advance(11min);
        CHECK(tables.front()->check(Poison) == SuspectVerdict::Clear);
    }
    CHECK(maxCrashedUpstreams == SuspectSettings {}.crashLimit);
}

TEST_CASE("an answer clears the earlier crashes of a request, also at siblings")
{
    Core::ManualClock clock;
    SuspectTable table(clock, {});
    SuspectTable sibling(clock, {});
    const RequestDigest harmlessRequest = 5;
    table.noteCrash(1, std::span(&harmlessRequest, 1));
    sibling.merge(table.records(10));
    CHECK(sibling.check(harmlessRequest) == SuspectVerdict::Suspect);
    clock.advance(1s);
    table.noteAnswered(harmlessRequest);
    CHECK(table.check(harmlessRequest) == SuspectVerdict::Clear);
    // Merging the sibling's older record does not restore the crash.
    table.merge(sibling.records(10));
    CHECK(table.check(harmlessRequest) == SuspectVerdict::Clear);
    sibling.merge(table.records(10));
    CHECK(sibling.check(harmlessRequest) == SuspectVerdict::Clear);
}
