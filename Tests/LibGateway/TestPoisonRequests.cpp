#include "PoisonSimulation.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/PoisonTable.h>
#include <LibGateway/RequestDigest.h>

#include <catch2/catch.hpp>

#include <initializer_list>
#include <set>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using GatewayTests::PoisonShape;
using GatewayTests::PoisonSimulation;

namespace {

constexpr std::uint64_t Poison = 10;
constexpr std::uint64_t Sound = 11;
constexpr std::uint64_t First = 20;
constexpr std::uint64_t Deadly = 21;

struct Instance
{
    Gateway::PoisonTable table;
    Core::ManualClock clock;
    std::uint64_t crashes = 0;
    std::uint64_t answers = 1'000;
    std::uint64_t attempts = 0;

    Instance() { clock.advance(1h); }
    /// Answers requests, no two alike, ten a second.
    void pass(std::chrono::milliseconds time)
    {
        for (const auto end = clock.now() + time; clock.now() < end; clock.advance(100ms))
            answer({++answers});
    }
    void answer(const std::vector<std::uint64_t> &suspects)
    {
        table.noteAnswered(suspects, clock.now());
        table.takeAnsweredSuspects(clock.now());
    }
    /// Crashes an upstream with these requests, which have no prompts.
    void crash(const std::vector<std::uint64_t> &requests)
    {
        ++crashes;
        for (const auto request : requests)
            table.noteCasualty({crashes, request, {}, false, ++attempts}, clock.now());
    }
    bool isPoison(std::uint64_t suspect) const
    {
        return table.findPoison(std::span(&suspect, 1), clock.now()).has_value();
    }
};

/// Plays the shape with several seeds.
template <typename Check>
void play(PoisonShape shape, Check check)
{
    for (shape.seed = 1; shape.seed <= 24; ++shape.seed) {
        const auto outcome = PoisonSimulation(shape).run();
        CAPTURE(shape.seed, outcome.crashes, outcome.soundRefused);
        check(outcome);
    }
}

void checkPoisonRequest(std::initializer_list<double> rates, bool crashesBeforeHead)
{
    for (const double perSecond : rates) {
        PoisonShape shape;
        shape.poisonPerSecond = perSecond;
        shape.crashesBeforeHead = crashesBeforeHead;
        shape.repeatedShare = 0.5;
        play(shape, [&](const auto &outcome) {
            CAPTURE(perSecond, crashesBeforeHead);
            CHECK(outcome.poisonSentLate <= 3);
            CHECK(outcome.soundRefused == 0);
        });
    }
}

} // namespace

TEST_CASE("a digest is the same for different requests")
{
    const auto digest = Gateway::requestDigest("/a", "liit", "body");
    CHECK(digest == Gateway::requestDigest("/a", "liit", "body"));
    CHECK(digest != Gateway::requestDigest("/a", "kool", "body"));
    CHECK(digest != Gateway::requestDigest("/b", "liit", "body"));
    CHECK(digest != Gateway::requestDigest("/a", "liit", "other"));
}

// Guards against upstreams with short ids whose start times hash to the same crash, so that a
// request that crashed three of them counted as one that crashed two.
TEST_CASE("crashes of different upstreams or incarnations have the same identity")
{
    std::set<std::uint64_t> identities;
    std::size_t count = 0;
    for (const std::string prefix : {"w", "w-", "w-1", "worker-", "i-7f3a91c"}) {
        for (int upstream = 0; upstream < 10; ++upstream) {
            for (const auto start : {0ms, 1ms, 2ms, 3ms, 4ms, 1'700'000'000'000ms}) {
                const Core::UpstreamId id(prefix + std::to_string(upstream));
                identities.insert(Gateway::crashIdentity(id, start));
                ++count;
            }
        }
    }
    CHECK(identities.size() == count);
}

TEST_CASE("a request that crashes three upstreams is sent to more, or others with it are refused")
{
    const bool hasAnswers = GENERATE(false, true);
    Instance it;
    for (std::uint64_t n = 0; n < 3; ++n) {
        CHECK_FALSE(it.isPoison(Poison));
        it.crash({Poison, 100 + n});
        if (hasAnswers)
            it.pass(500ms);
        else
            it.clock.advance(500ms);
    }
    it.clock.advance(500ms);
    it.table.takeAnsweredSuspects(it.clock.now());
    CHECK(it.isPoison(Poison));
    for (std::uint64_t n = 0; n < 3; ++n)
        CHECK_FALSE(it.isPoison(100 + n));
}

TEST_CASE("a request is refused for crashes of one upstream, or of several at one moment")
{
    Instance it;
    for (std::uint64_t n = 0; n < 20; ++n) {
        it.table.noteCasualty({1, Sound, {}, false, n + 1}, it.clock.now());
        it.pass(300ms);
    }
    it.pass(5s);
    CHECK_FALSE(it.isPoison(Sound));
    Instance other;
    for (int n = 0; n < 12; ++n) {
        other.crash({Sound});
        other.clock.advance(20ms);
    }
    other.pass(5s);
    CHECK_FALSE(other.isPoison(Sound));
}

TEST_CASE("a request that is answered in between is refused for the crashes that it was lost in")
{
    Instance it;
    for (int n = 0; n < 20; ++n) {
        it.crash({Sound});
        it.pass(500ms);
        if (n % 2 == 0) {
            it.clock.advance(500ms);
            it.answer({Sound});
        }
        CHECK_FALSE(it.isPoison(Sound));
    }
    it.crash({Sound});
    it.pass(500ms);
    it.crash({Sound});
    it.pass(1s);
    // At a sibling.
    it.table.noteAnsweredBySibling({Sound, 0ms}, it.clock.now());
    it.crash({Sound});
    it.pass(2s);
    CHECK_FALSE(it.isPoison(Sound));
}

TEST_CASE("a request that shared the crashes of a deadly part stays refused")
{
    Instance it;
    for (std::uint64_t n = 0; n < 8; ++n) {
        ++it.crashes;
        for (int count = 0; count < 3; ++count)
            it.table.noteCasualty({it.crashes, Sound, {First}, true, ++it.attempts},
                                  it.clock.now());
        it.table.noteCasualty({it.crashes, 100 + n, {First, Deadly}, true, ++it.attempts},
                              it.clock.now());
        for (int count = 0; count < 5; ++count) {
            it.clock.advance(100ms);
            it.answer({First, ++it.answers});
        }
    }
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(Sound));
    // A sibling that does not know it yet.
    it.table.notePoison({Sound, 50s, 1}, it.clock.now());
    CHECK_FALSE(it.isPoison(Sound));
}

TEST_CASE("a poison request whose time is over is sent more often than once, or stays refused")
{
    Instance it;
    for (int n = 0; n < 3; ++n) {
        it.crash({Poison});
        it.pass(500ms);
    }
    it.pass(1s);
    REQUIRE(it.isPoison(Poison));
    CHECK_FALSE(it.table.mayTry(Poison, it.clock.now()));
    it.pass(61s);
    CHECK(it.table.mayTry(Poison, it.clock.now()));
    CHECK_FALSE(it.table.mayTry(Poison, it.clock.now()));
    it.crash({Poison});
    it.pass(100s);
    CHECK_FALSE(it.table.mayTry(Poison, it.clock.now()));
    it.pass(21s);
    CHECK(it.table.mayTry(Poison, it.clock.now()));
    it.answer({Poison});
    CHECK_FALSE(it.isPoison(Poison));
}

TEST_CASE("many lost requests exhaust the memory")
{
    Instance it;
    for (std::uint64_t n = 0; n < 20'000; ++n) {
        it.table.noteCasualty({n / 200, n, {}, false, n + 1}, it.clock.now());
        it.table.noteAnswered(std::vector {n + 100'000}, it.clock.now());
        it.clock.advance(1ms);
    }
    CHECK(it.table.causes(it.clock.now()).size() <= 64);
    CHECK(it.table.takeAnsweredSuspects(it.clock.now()).size() <= 64);
}

TEST_CASE("a request that crashes engines goes on doing so, or sound ones are refused with it")
{
    checkPoisonRequest({0.2, 0.5, 2.0}, GENERATE(false, true));
}

TEST_CASE("a request that crashes all engines goes on doing so, or sound ones are refused with it")
{
    // Ten a second leave no engine up to answer others.
    checkPoisonRequest({10.0}, GENERATE(false, true));
}

TEST_CASE("requests that callers repeat are refused beside a part that crashes engines")
{
    for (const double repeatedShare : {0.2, 0.7, 1.0}) {
        for (const double perSecond : {0.5, 1.7, 5.0}) {
            for (const unsigned engines : {4U, 10U}) {
                PoisonShape shape;
                shape.instances = 3;
                shape.engines = engines;
                shape.soundPerSecond = 2.5 * engines;
                shape.repeatedShare = repeatedShare;
                shape.deadlyPerSecond = perSecond;
                play(shape, [&](const auto &outcome) {
                    CAPTURE(repeatedShare, perSecond, engines, outcome.soundShare);
                    CHECK(outcome.repeatedShare >= 0.5);
                    CHECK(outcome.deadlySentLate <= 3);
                });
            }
        }
    }
}

TEST_CASE("requests that callers repeat are refused after crashes that none of them causes")
{
    struct Failures
    {
        double perSecond;
        unsigned engines;
    };
    for (const double repeatedShare : {0.2, 0.7, 1.0}) {
        for (const auto failures : {Failures {0.2, 1}, Failures {0.2, 4}, Failures {1, 1}}) {
            PoisonShape shape;
            shape.repeatedShare = repeatedShare;
            shape.failuresPerSecond = failures.perSecond;
            shape.enginesPerFailure = failures.engines;
            play(shape, [&](const auto &outcome) {
                CAPTURE(repeatedShare, failures.perSecond, failures.engines);
                CHECK(outcome.soundRefused == 0);
            });
        }
    }
}

TEST_CASE("requests that callers repeat are refused while most engines are down")
{
    for (const double repeatedShare : {0.2, 0.7, 1.0}) {
        PoisonShape shape;
        shape.repeatedShare = repeatedShare;
        shape.failuresPerSecond = 1;
        shape.enginesPerFailure = 4;
        play(shape, [&](const auto &outcome) {
            CAPTURE(repeatedShare);
            CHECK(outcome.soundRefused == 0);
        });
    }
}
