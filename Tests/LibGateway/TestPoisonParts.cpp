#include "PoisonSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace std::chrono_literals;
using GatewayTests::PoisonShape;
using GatewayTests::PoisonSimulation;

TEST_CASE("deadly prompts reach few engines, and sound ones with the same first part are served")
{
    for (const double perSecond : {0.5, 2.0, 10.0}) {
        for (unsigned seed = 1; seed <= 24; ++seed) {
            PoisonShape shape;
            shape.seed = seed;
            shape.deadlyPerSecond = perSecond;
            shape.wasSound = seed % 3 == 0;
            shape.restartsInstance = seed % 4 == 0;
            shape.failuresPerSecond = seed % 2 ? 0 : 0.5;
            const auto outcome = PoisonSimulation(shape).run();
            std::cerr << perSecond << ' ' << seed << ": " << outcome.crashes << " late " << outcome.deadlySentLate << " share " << outcome.soundShare << " refused " << outcome.soundRefused << '\n';
            CAPTURE(perSecond, seed, outcome.crashes, outcome.soundRefused);
            CHECK(outcome.deadlySentLate <= 3);
            CHECK(outcome.soundShare >= 0.5);
        }
    }
}

TEST_CASE("crashes without a deadly part let no prompt be refused")
{
    for (const double failuresPerSecond : {0.2, 1.0, 2.0}) {
        for (unsigned seed = 1; seed <= 24; ++seed) {
            PoisonShape shape;
            shape.seed = seed;
            shape.failuresPerSecond = failuresPerSecond;
            shape.enginesPerFailure = seed % 2 ? 1 : 4;
            const auto outcome = PoisonSimulation(shape).run();
            std::cerr << failuresPerSecond << ' ' << seed << ": " << outcome.crashes << " refused " << outcome.soundRefused << '\n';
            CAPTURE(failuresPerSecond, seed, outcome.crashes);
            CHECK(outcome.soundRefused == 0);
        }
    }
}
