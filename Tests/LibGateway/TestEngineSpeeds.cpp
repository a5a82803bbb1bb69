#include "FleetSimulation.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/EngineQueue.h>
#include <LibGateway/EngineSpeeds.h>
#include <LibGateway/SiblingExchange.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace std::chrono_literals;
using Gateway::EngineQueue;
using Gateway::EngineSpeeds;

namespace {

constexpr auto Own = EngineSpeeds::Origin::Own;

/// An instance that exchanges the speeds of six engines with others.
struct Instance
{
    explicit Instance(const std::string &name, const std::string &dataCentre = "n")
        : members({Core::InstanceId(name), dataCentre, {}, 100}, clock)
        , speeds({clock, fleet, [this](const auto &, auto value) { rate = value; }})
        , exchange(context, {clock, members, fleet, stores, weights, poisonNews, &speeds})
    {
        clock.advance(1h);
        for (int n = 0; n < 6; ++n) {
            Gateway::UpstreamReport report;
            report.id = Core::UpstreamId("w" + std::to_string(n));
            report.service = "llm";
            fleet.apply(report);
        }
    }

    std::shared_ptr<Gateway::Upstream> engine(int number) const
    {
        return fleet.find(Core::UpstreamId("w" + std::to_string(number)));
    }
    static std::uint64_t hash(int number)
    {
        return Gateway::UpstreamFleet::hashOf(Core::UpstreamId("w" + std::to_string(number)));
    }
    /// Prefills prompts of different lengths at engines of speed 1, but 0.5 at the first two.
    void measure()
    {
        for (unsigned n = 0; n < 400; ++n) {
            const int number = static_cast<int>(n % 6);
            const std::uint64_t tokens = n % 4 < 2 ? 3'000 : 8'000;
            const double speed = number < 2 ? 0.5 : 1;
            speeds.addSample({hash(number), n % 5, tokens,
                              Capacity::Milliseconds(20 + double(tokens) / (50 * speed))});
            clock.advance(20ms);
        }
    }
    /// Refreshes for longer than a service has to be uneven.
    void refresh()
    {
        speeds.refresh();
        clock.advance(6s);
        speeds.refresh();
    }

    boost::asio::io_context context;
    Core::ManualClock clock;
    Gateway::UpstreamFleet fleet;
    Gateway::KvCacheStores stores;
    Gateway::WeightsTargets weights;
    Gateway::PoisonTable poisonParts;
    Gateway::PoisonNews poisonNews {poisonParts, clock};
    Gateway::FleetMembers members;
    std::optional<double> rate;
    EngineSpeeds speeds;
    Gateway::SiblingExchange exchange;
};

} // namespace

TEST_CASE("an engine's queue measures prefills, but not those with an uncertain begin")
{
    Core::ManualClock clock;
    clock.advance(1h);
    EngineQueue queue;
    const auto add = [&](std::uint64_t number) {
        queue.add({1, number}, {1'000 * number, 0, false, clock.now() + 9s}, clock.now());
    };
    const auto noteFirstToken = [&](std::uint64_t number) {
        clock.advance(40ms);
        return queue.noteFirstToken({1, number}, clock.now());
    };
    for (std::uint64_t number = 1; number < 9; ++number)
        add(number);
    const auto first = noteFirstToken(1);
    REQUIRE(first);
    CHECK(first->tokens == 1'000);
    CHECK(first->time == EngineQueue::Prefill().time + 40ms);
    CHECK(first->inFlight == 8);
    CHECK(noteFirstToken(2));
    // The note of a repeated first token.
    CHECK_FALSE(noteFirstToken(2));
    // The note of prompt 4 overtakes that of prompt 3.
    CHECK_FALSE(noteFirstToken(4));
    CHECK_FALSE(noteFirstToken(3));
    CHECK_FALSE(noteFirstToken(5));
    CHECK(noteFirstToken(6));
    queue.remove({1, 7}, clock.now());
    CHECK_FALSE(noteFirstToken(8));
    add(9);
    CHECK(noteFirstToken(9));
}

TEST_CASE("the speeds measured at one instance take effect at all")
{
    Instance keeper("keeper");
    Instance other("other");
    keeper.measure();
    other.exchange.apply(keeper.exchange.encode());
    CHECK(other.engine(0)->speed() == 1);
    for (auto *instance : {&keeper, &other}) {
        instance->refresh();
        REQUIRE(instance->rate);
        CHECK(*instance->rate == Approx(50).epsilon(0.1));
        CHECK(instance->engine(0)->speed() == Approx(0.5).epsilon(0.15));
        CHECK(instance->engine(0)->slowness() == Approx(2).epsilon(0.15));
        CHECK(instance->engine(5)->speed() == Approx(1).epsilon(0.15));
    }
    // Only the keeper publishes them.
    CHECK(keeper.speeds.reports(Own).size() == 6);
    CHECK(other.speeds.reports(Own).empty());
    // Without measurements, the common rate applies again.
    other.clock.advance(61s);
    other.speeds.refresh();
    CHECK_FALSE(other.rate);
    CHECK(other.engine(0)->slowness() == 1);
}

TEST_CASE("hubs pass speeds on to other data centres once, and not back")
{
    Instance keeper("keeper", "n");
    Instance northHub("north", "n");
    Instance southHub("south", "s");
    Instance southMember("member", "s");
    keeper.measure();
    northHub.exchange.apply(keeper.exchange.encode());
    southHub.exchange.apply(northHub.exchange.encodeDataCentre());
    southMember.exchange.apply(southHub.exchange.encodeRemoteSum());
    CHECK(southMember.speeds.reports(EngineSpeeds::Origin::Elsewhere).size() == 6);
    southMember.refresh();
    CHECK(southMember.engine(1)->speed() == Approx(0.5).epsilon(0.15));
    Instance back("back", "n");
    back.exchange.apply(southHub.exchange.encodeDataCentre());
    CHECK(back.speeds.reports(EngineSpeeds::Origin::DataCentre).empty());
}

namespace {

using GatewayTests::FleetShape;
using GatewayTests::FleetSimulation;
using GatewayTests::PromptKind;

const std::vector<PromptKind> promptKinds {{.name = "long",
                                            .perSecond = 65,
                                            .ownTokens = 6'600,
                                            .spread = 0.7,
                                            .target = 800ms,
                                            .callerTime = 15'000ms},
                                           {.name = "short",
                                            .perSecond = 120,
                                            .ownTokens = 1'800,
                                            .spread = 0.7,
                                            .target = 400ms,
                                            .callerTime = 3'000ms,
                                            .isUrgent = true}};

FleetShape unevenShape(bool measuresSpeeds)
{
    FleetShape shape;
    shape.instances = 20;
    shape.reportInterval = 300ms;
    shape.reportDelay = 100ms;
    shape.keepsQueues = true;
    shape.measuresSpeeds = measuresSpeeds;
    shape.length = 60s;
    return shape;
}

} // namespace

TEST_CASE("work shifts to fast engines, and away from one that slows down")
{
    double inTime[2] = {};
    for (const bool measuresSpeeds : {false, true}) {
        FleetSimulation fleet(unevenShape(measuresSpeeds), promptKinds);
        const auto begin = fleet.now();
        // One of the fast engines is slow for the middle third.
        constexpr unsigned Changed = 2;
        std::map<long, double> tokensAt;
        fleet.engineSpeed = [&](unsigned engine) {
            const auto elapsed = fleet.now() - begin;
            tokensAt[elapsed / 1s] = fleet.prefilledTokens(Changed);
            const bool isSlow = engine == Changed && elapsed >= 20s && elapsed < 40s;
            return engine % 3 == 2 && !isSlow ? 1.7 : 0.7;
        };
        fleet.run();
        double fast = 0;
        double slow = 0;
        for (unsigned n = 3; n < 18; ++n)
            (n % 3 == 2 ? fast : slow) += fleet.prefilledTokens(n);
        const double ratio = fast / 5 / (slow / 10);
        inTime[measuresSpeeds ? 1 : 0] = fleet.tally("long").inTimeShare();
        // Without the first seconds of each third, while the change is not yet known.
        const double before = tokensAt[19] - tokensAt[8];
        const double during = tokensAt[39] - tokensAt[28];
        const double after = tokensAt[59] - tokensAt[48];
        CAPTURE(measuresSpeeds, ratio, before, during, after, fleet.tally("long").inTimeShare(),
                fleet.tally("short").inTimeShare());
        // The capture below shows the figures of both.
        CHECK(ratio > 0);
        if (!measuresSpeeds)
            continue;
        CHECK(ratio > 1.7);
        CHECK(during < 0.7 * before);
        CHECK(after > 0.8 * before);
    }
    CAPTURE(inTime[0], inTime[1]);
    CHECK(inTime[1] > inTime[0]);
}

TEST_CASE("a uniform service is served the same whether speeds are measured or not")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        double inTime[2] = {};
        for (const bool measuresSpeeds : {false, true}) {
            auto shape = unevenShape(measuresSpeeds);
            shape.seed = seed;
            shape.length = 20s;
            FleetSimulation fleet(shape, promptKinds);
            fleet.run();
            inTime[measuresSpeeds ? 1 : 0] = fleet.tally("long").inTimeShare();
        }
        CHECK(inTime[0] == inTime[1]);
    }
}
