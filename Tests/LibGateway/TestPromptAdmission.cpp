#include "FleetSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using Gateway::PromptOutlook;
using GatewayTests::FleetShape;
using GatewayTests::FleetSimulation;
using GatewayTests::Milliseconds;
using GatewayTests::PromptKind;

namespace {

/// Slow engines with long prompts of widely varying size beside short urgent ones.
std::vector<PromptKind> slowEngineKinds(double factor)
{
    PromptKind verdict;
    verdict.name = "verdict";
    verdict.perSecond = 18 * factor;
    verdict.sharedTokens = 6'300;
    verdict.ownTokens = 2'890;
    verdict.maxTokens = 39'600;
    verdict.target = 600ms;
    verdict.callerTime = 4'000ms;
    verdict.sessions = 198;
    PromptKind answer;
    answer.name = "answer";
    answer.perSecond = 50 * factor;
    answer.sharedTokens = 198;
    answer.ownTokens = 628;
    answer.maxTokens = 3'800;
    answer.target = 400ms;
    answer.callerTime = 12'000ms;
    answer.isUrgent = true;
    answer.sessions = 836;
    return {verdict, answer};
}

PromptOutlook outlook(double wait, double own)
{
    PromptOutlook outlook;
    outlook.wait = Milliseconds(wait);
    outlook.ownTime = Milliseconds(own);
    outlook.remaining = 4'000ms;
    outlook.target = 600ms;
    return outlook;
}

} // namespace

TEST_CASE("a prompt is refused for its wait, not for its size")
{
    CHECK_FALSE(refusePrompt(outlook(0, 100)));
    CHECK_FALSE(refusePrompt(outlook(0, 900)));
    CHECK_FALSE(refusePrompt(outlook(290, 2'000)));
    REQUIRE(refusePrompt(outlook(700, 20)));
    CHECK(refusePrompt(outlook(700, 20))->retryAfter == 400ms);
    CHECK(refusePrompt(outlook(310, 20))->retryAfter == 100ms);
}

TEST_CASE("a prompt that no engine could serve within the caller's time is refused for good")
{
    REQUIRE(refusePrompt(outlook(0, 3'500)));
    CHECK_FALSE(refusePrompt(outlook(0, 3'500))->retryAfter);
    // Another engine may be free when the caller returns.
    REQUIRE(refusePrompt(outlook(250, 3'300)));
    CHECK(refusePrompt(outlook(250, 3'300))->retryAfter);
}

TEST_CASE("urgent and returning prompts may wait longer")
{
    auto urgent = outlook(2'000, 20);
    urgent.isUrgent = true;
    CHECK_FALSE(refusePrompt(urgent));
    urgent.wait = Milliseconds(2'500);
    CHECK(refusePrompt(urgent));
    auto returning = outlook(500, 20);
    CHECK(refusePrompt(returning));
    returning.isReturning = true;
    CHECK_FALSE(refusePrompt(returning));
}

TEST_CASE("returning callers are recognized by the time that they have left")
{
    Gateway::ReturningCallers callers;
    CHECK_FALSE(callers.noteArrival(4'000ms));
    CHECK_FALSE(callers.noteArrival(3'990ms));
    CHECK(callers.noteArrival(3'500ms));
    CHECK_FALSE(callers.noteArrival(4'000ms));
    // A configuration that gives all callers less time changes what counts as returning.
    for (int n = 0; n < 2'000; ++n)
        callers.noteArrival(2'000ms);
    CHECK_FALSE(callers.noteArrival(2'000ms));
}

TEST_CASE("large prompts are served as often as others, on slow engines and in a burst")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        FleetShape shape;
        shape.seed = seed;
        FleetSimulation simulation(shape, slowEngineKinds(1));
        int calls = 0;
        simulation.loadFactor = [&calls, begin = Core::Clock::Monotonic()](auto now) mutable {
            if (calls++ == 0)
                begin = now;
            return now - begin > 6s && now - begin < 10s ? 4.0 : 1.0;
        };
        simulation.run();
        for (const std::string kind : {"verdict", "answer"}) {
            const auto all = simulation.tally(kind).servedShare();
            CHECK(all > 0.85);
            CHECK(simulation.tally(kind, "large").servedShare() > all - 0.1);
            for (const std::string group : {"team 0", "team 3", "team 7", "centre 0", "centre 2"})
                CHECK(simulation.tally(kind, group).servedShare() > all - 0.1);
        }
        CHECK(simulation.tally("answer").inTimeShare() > 0.85);
    }
}

TEST_CASE("many instances with old reports share engines by varied choices and kept queues")
{
    struct Fleet
    {
        unsigned instances;
        unsigned engines;
        std::chrono::milliseconds reportInterval;
        double load;
    };
    struct Result
    {
        double inTime = 0;
        double error = 0;
        unsigned collisions = 0;
    };
    for (const auto &fleet : {Fleet {8, 18, 100ms, 2.2}, Fleet {300, 60, 400ms, 7}}) {
        const auto play = [&fleet](bool variesChoice, bool keepsQueues) {
            FleetShape shape;
            shape.instances = fleet.instances;
            shape.engines = fleet.engines;
            shape.reportInterval = fleet.reportInterval;
            shape.variesChoice = variesChoice;
            shape.keepsQueues = keepsQueues;
            shape.length = 8s;
            FleetSimulation simulation(shape, slowEngineKinds(fleet.load));
            simulation.run();
            return Result {std::min(simulation.tally("verdict").inTimeShare(),
                                    simulation.tally("answer").inTimeShare()),
                           simulation.meanWaitError().count(), simulation.collisions()};
        };
        const auto before = play(false, false);
        const auto varied = play(true, false);
        const auto kept = play(true, true);
        INFO("in time " << before.inTime << ", " << varied.inTime << ", " << kept.inTime
                        << ", error " << before.error << ", " << varied.error << ", " << kept.error
                        << " ms, collisions " << before.collisions << ", " << varied.collisions
                        << ", " << kept.collisions);
        CHECK(varied.inTime >= before.inTime);
        CHECK(varied.error < before.error);
        CHECK(kept.inTime >= varied.inTime);
        CHECK(kept.error < varied.error / 2);
        CHECK(kept.collisions < varied.collisions / 2);
    }
}
