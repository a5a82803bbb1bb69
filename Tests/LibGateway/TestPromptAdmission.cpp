#include "FleetSimulation.h"

#include <catch2/catch.hpp>

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
