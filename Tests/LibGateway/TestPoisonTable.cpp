#include "PoisonSimulation.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/PoisonTable.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using GatewayTests::PoisonShape;
using GatewayTests::PoisonSimulation;

namespace {

// Larger than the digests of requests, which are numbered from 0.
constexpr std::uint64_t First = 1'000'001;
constexpr std::uint64_t Deadly = 1'000'002;
constexpr std::uint64_t Session = 1'000'003;
constexpr std::uint64_t Other = 1'000'004;

/// A table that has seen answers for some time.
struct Instance
{
    Gateway::PoisonTable table;
    Core::ManualClock clock;
    std::uint64_t crashes = 0;
    std::uint64_t requests = 0;

    Instance()
    {
        clock.advance(1h);
        pass(10s);
    }
    void pass(std::chrono::milliseconds time, std::vector<std::uint64_t> answered = {First, Other})
    {
        for (const auto end = clock.now() + time; clock.now() < end; clock.advance(100ms)) {
            table.noteAnswered(answered, clock.now());
            table.takeAnsweredSuspects(clock.now());
        }
    }
    /// Crashes an engine with these prompts.
    void crash(const std::vector<std::vector<std::uint64_t>> &prompts)
    {
        ++crashes;
        for (const auto &parts : prompts)
            table.noteCasualty({crashes, ++requests, parts}, clock.now());
    }
    void crashTimes(int count, std::chrono::milliseconds pause,
                    const std::vector<std::vector<std::uint64_t>> &prompts)
    {
        for (int n = 0; n < count; ++n) {
            crash(prompts);
            pass(pause);
        }
    }
    bool isPoison(std::uint64_t part) const
    {
        return table.findPoison(std::span(&part, 1), clock.now()).has_value();
    }
};

void checkDeadlyPart(double perSecond, bool wasSound)
{
    for (unsigned seed = 1; seed <= 24; ++seed) {
        PoisonShape shape;
        shape.seed = seed;
        shape.deadlyPerSecond = perSecond;
        shape.wasSound = wasSound;
        shape.restartsInstance = seed % 4 == 0;
        shape.failuresPerSecond = seed % 2 ? 0 : 0.5;
        const auto outcome = PoisonSimulation(shape).run();
        CAPTURE(perSecond, seed, outcome.crashes);
        CHECK(outcome.deadlySentLate <= 3);
        CHECK(outcome.soundShare >= 0.5);
        // A hundredth of the prompts: those of a session whose prompts waited with the deadly ones.
        CHECK(outcome.soundRefused <= 20);
    }
}

} // namespace

TEST_CASE("a sound first part is refused with the deadly part in the same crashes")
{
    for (const auto pause : {200ms, 500ms, 2'000ms}) {
        Instance it;
        it.crashTimes(5, pause, {{First, Deadly}, {First, Other}});
        it.pass(1s);
        CHECK(it.isPoison(Deadly));
        CHECK_FALSE(it.isPoison(First));
        CHECK_FALSE(it.isPoison(Other));
    }
}

TEST_CASE("a session that waited at the engines another part crashed is refused")
{
    Instance it;
    it.crashTimes(3, 500ms, {{First, Deadly}, {First, Session}, {First, Other}});
    it.crashTimes(3, 500ms, {{First, Deadly}, {First, Other}});
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(Session));
}

TEST_CASE("a session stays refused when the deadly part's casualties become known late")
{
    Instance it;
    it.crashTimes(5, 500ms, {{First, Session}, {First, Other}});
    it.pass(1s);
    REQUIRE(it.isPoison(Session));
    unsigned acquittals = 0;
    it.table.onAcquitted = [&](std::uint64_t part) { acquittals += part == Session; };
    for (std::uint64_t crash = 1; crash <= 5; ++crash)
        it.table.noteCasualty({crash, ++it.requests, {First, Deadly}}, it.clock.now());
    it.crashTimes(2, 500ms, {{First, Deadly}, {First, Other}});
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(Session));
    CHECK(acquittals == 1);
    // A sibling that does not know it yet.
    it.table.notePoison({Session, 50s, 1}, it.clock.now());
    CHECK_FALSE(it.isPoison(Session));
}

TEST_CASE("a sound part is refused after engines crash at one moment")
{
    Instance it;
    for (int n = 0; n < 12; ++n) {
        it.crash({{First, Other}, {First, Session}, {First, Session + 100 + std::uint64_t(n)}});
        it.clock.advance(20ms);
    }
    it.pass(5s);
    CHECK(it.table.causes(it.clock.now()).empty());
}

TEST_CASE("a first part that all prompts share is refused after all engines stop in turn")
{
    for (const auto pause : {20ms, 50ms, 100ms, 200ms}) {
        Instance it;
        for (std::uint64_t n = 0; n < 100; ++n)
            it.pass(100ms, {First, 1'000 + n});
        for (std::uint64_t n = 0; n < 12; ++n) {
            // The prompt that each engine had begun.
            it.table.noteCasualty({n, ++it.requests, {First, 2'000 + n}, true}, it.clock.now());
            it.clock.advance(pause);
            it.table.noteAnswered(std::vector {First, 3'000 + n}, it.clock.now());
        }
        CAPTURE(pause.count());
        for (int n = 0; n < 40; ++n, it.clock.advance(100ms)) {
            it.table.takeAnsweredSuspects(it.clock.now());
            CHECK_FALSE(it.isPoison(First));
        }
    }
}

TEST_CASE("a part is refused for one crash or one request that is reported again and again")
{
    Instance it;
    for (std::uint64_t n = 0; n < 20; ++n) {
        it.table.noteCasualty({1, n, {First, Deadly}}, it.clock.now());
        it.table.noteCasualty({100 + n, 1'000, {First, Session}}, it.clock.now());
        it.pass(400ms);
    }
    CHECK_FALSE(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(Session));
}

TEST_CASE("a deadly part is not found while little else is sent")
{
    Instance it;
    it.crashTimes(5, 500ms, {{First, Deadly}});
    it.pass(1s, {});
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(First));

    // Nothing was ever answered.
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::PoisonTable table;
    for (std::uint64_t crash = 1; crash <= 5; ++crash, clock.advance(500ms))
        table.noteCasualty({crash, crash, {First, Deadly}}, clock.now());
    clock.advance(500ms);
    table.takeAnsweredSuspects(clock.now());
    CHECK(table.findPoison(std::vector {First, Deadly}, clock.now()) == Deadly);
}

TEST_CASE("a started instance refuses a part that siblings know as sound")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::PoisonTable table;
    for (std::uint64_t crash = 1; crash <= 20; ++crash) {
        table.noteCasualty({crash, 2 * crash, {First, Deadly}}, clock.now());
        table.noteCasualty({crash, 2 * crash + 1, {First, 100 + crash}}, clock.now());
        clock.advance(500ms);
        table.noteAnsweredBySibling({First, 300ms}, clock.now());
        CHECK_FALSE(table.findPoison(std::vector {First}, clock.now()));
    }
    CHECK(table.findPoison(std::vector {First, Deadly}, clock.now()) == Deadly);
}

TEST_CASE("a part that becomes deadly after answers is never found")
{
    Instance it;
    it.pass(3s, {First, Deadly});
    it.pass(2s);
    it.crashTimes(5, 500ms, {{First, Deadly}, {First, Other}});
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(First));
}

TEST_CASE("an answered part is refused for crashes before the answer")
{
    Instance it;
    it.crashTimes(2, 500ms, {{First, Session}});
    it.pass(1s, {First, Session});
    it.crashTimes(2, 500ms, {{First, Session}});
    it.pass(1s);
    CHECK_FALSE(it.isPoison(Session));
}

TEST_CASE("the order of evidence changes the result")
{
    std::vector<Gateway::Casualty> casualties;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        casualties.push_back({crash, 10 * crash, {First, Deadly}});
        casualties.push_back({crash, 10 * crash + 1, {First, Other}});
        if (crash <= 3)
            casualties.push_back({crash, 10 * crash + 2, {First, Session}});
    }
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        // Each report is late by up to 500 ms.
        std::multimap<std::chrono::milliseconds, Gateway::Casualty> reports;
        for (const auto &casualty : casualties)
            reports.emplace(casualty.crash * 600ms + random() % 6 * 100ms, casualty);
        Instance it;
        const auto begin = it.clock.now();
        for (const auto &[time, casualty] : reports) {
            it.pass(std::chrono::duration_cast<std::chrono::milliseconds>(begin + time
                                                                          - it.clock.now()));
            it.table.noteCasualty(casualty, it.clock.now());
        }
        it.pass(1s);
        CAPTURE(seed);
        CHECK(it.isPoison(Deadly));
        CHECK(it.table.causes(it.clock.now()).size() == 1);
    }
}

TEST_CASE("a crash that becomes known after a later one is not counted")
{
    Instance it;
    const auto start = it.clock.now();
    it.pass(2s);
    for (const std::uint64_t crash : {5, 4, 3, 2, 1})
        it.table.noteCasualty({crash, crash, {First, Deadly}}, start + crash * 400ms);
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
}

TEST_CASE("a prompt that waited at the engine is suspected with the one that crashed it")
{
    Instance it;
    for (std::uint64_t crash = 1; crash <= 8; ++crash) {
        it.table.noteCasualty({crash, crash, {First, Session}}, it.clock.now());
        it.table.noteCasualty({crash, crash + 100, {First, Deadly}, true}, it.clock.now());
        it.table.noteCasualty({crash, crash + 200, {First, Session}}, it.clock.now());
        it.pass(500ms);
    }
    it.pass(1s);
    CHECK(it.isPoison(Deadly));
    CHECK_FALSE(it.isPoison(Session));
}

TEST_CASE("a poison part whose time is over is sent more often than once, or is forgotten")
{
    Instance it;
    it.crashTimes(5, 500ms, {{First, Deadly}});
    it.pass(1s);
    REQUIRE(it.isPoison(Deadly));
    CHECK_FALSE(it.table.mayTry(Deadly, it.clock.now()));
    it.pass(61s);
    CHECK(it.isPoison(Deadly));
    CHECK(it.table.mayTry(Deadly, it.clock.now()));
    CHECK_FALSE(it.table.mayTry(Deadly, it.clock.now()));
    it.crash({{First, Deadly}});
    it.pass(100s);
    CHECK_FALSE(it.table.mayTry(Deadly, it.clock.now()));
    it.pass(21s);
    CHECK(it.table.mayTry(Deadly, it.clock.now()));
    it.table.noteAnswered(std::vector {First, Deadly}, it.clock.now());
    CHECK_FALSE(it.isPoison(Deadly));
    // Reports that were under way do not revive it.
    it.table.notePoison({Deadly, 0s, 2}, it.clock.now());
    CHECK_FALSE(it.isPoison(Deadly));
}

TEST_CASE("a part is tried with a prompt whose other poison part is still refused")
{
    Instance it;
    it.table.notePoison({Session, 10s, 1}, it.clock.now());
    it.table.notePoison({Deadly, 60s, 1}, it.clock.now());
    it.clock.advance(20s);
    for (const auto &parts :
         {std::vector {First, Session, Deadly}, std::vector {First, Deadly, Session}}) {
        const auto part = it.table.findPoison(parts, it.clock.now());
        REQUIRE(part);
        CHECK_FALSE(it.table.mayTry(*part, it.clock.now()));
    }
    CHECK(it.table.mayTry(Session, it.clock.now()));
}

TEST_CASE("siblings refresh each other's poison parts forever")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::PoisonTable tables[2];
    tables[0].notePoison({Deadly, 60s, 1}, clock.now());
    for (int n = 0; n < 6'200; ++n) {
        const auto sent = tables[n % 2].causes(clock.now());
        clock.advance(100ms);
        for (const auto &poison : sent)
            tables[1 - n % 2].notePoison(poison, clock.now());
        if (n == 300) {
            CHECK(tables[1].findPoison(std::vector {Deadly}, clock.now()));
            CHECK_FALSE(tables[1].mayTry(Deadly, clock.now()));
        }
    }
    CHECK(tables[0].causes(clock.now()).empty());
    CHECK(tables[1].causes(clock.now()).empty());
}

TEST_CASE("many crashes and parts exhaust the memory")
{
    Instance it;
    for (std::uint64_t n = 0; n < 20'000; ++n) {
        it.table.noteCasualty({n, n, {First, n + 100, n + 100'000}}, it.clock.now());
        it.table.notePoison({n + 1'000'000, 60s, 1}, it.clock.now());
        it.table.noteAnswered(std::vector {n + 100}, it.clock.now());
        it.clock.advance(1ms);
    }
    CHECK(it.table.causes(it.clock.now()).size() <= 64);
    CHECK(it.table.takeAnsweredSuspects(it.clock.now()).size() <= 64);
}

TEST_CASE("prompts with a deadly part go on crashing engines, or sound ones are refused with them")
{
    for (const double perSecond : {0.5, 2.0, 10.0})
        checkDeadlyPart(perSecond, false);
}

TEST_CASE("prompts with a part that became deadly go on crashing engines")
{
    for (const double perSecond : {0.5, 2.0})
        checkDeadlyPart(perSecond, true);
}

TEST_CASE("prompts with a part that became deadly go on crashing all engines")
{
    // Ten a second leave no engine up to answer others.
    checkDeadlyPart(10, true);
}

TEST_CASE("prompts are refused after crashes without a deadly part")
{
    struct Failures
    {
        double perSecond;
        unsigned engines;
    };
    for (const auto failures : {Failures {0.2, 1}, Failures {0.2, 4}, Failures {1, 1}}) {
        for (unsigned seed = 1; seed <= 24; ++seed) {
            PoisonShape shape;
            shape.seed = seed;
            shape.failuresPerSecond = failures.perSecond;
            shape.enginesPerFailure = failures.engines;
            const auto outcome = PoisonSimulation(shape).run();
            CAPTURE(failures.perSecond, failures.engines, seed, outcome.crashes);
            CHECK(outcome.soundRefused == 0);
        }
    }
}
