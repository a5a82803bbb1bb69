#include "HangingLog.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/WeightsRollout.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto Model = "model";

class Engine : public Gateway::EngineControl
{
public:
    asio::awaitable<Gateway::EngineState> state(const Gateway::UpstreamReport &) override
    {
        Gateway::EngineState state;
        state.weights[Model] = weights;
        co_return state;
    }
    asio::awaitable<std::uint64_t> storeEpoch(Http::Endpoint, std::uint64_t &) override
    {
        co_return 0;
    }

    std::uint64_t weights = 1;
    int orders = 0;
};

/// An engine that leaves the first orders unanswered.
class SilentEngine final : public Engine
{
public:
    explicit SilentEngine(Core::ManualClock &clock)
        : m_clock(clock)
    { }

    asio::awaitable<Gateway::OrderOutcome> order(const Gateway::UpstreamReport &,
                                                 const Gateway::WeightsOrder &order,
                                                 std::function<bool()>) override
    {
        if (++orders <= 6) {
            m_clock.advance(300ms);
            throw Core::Error(Core::ErrorKind::UpstreamTimedOut, "no answer");
        }
        weights = order.version;
        co_return Gateway::OrderOutcome::Accepted;
    }

private:
    Core::ManualClock &m_clock;
};

/// An engine whose first answers cannot be decoded.
class OddEngine final : public Engine
{
public:
    asio::awaitable<Gateway::EngineState> state(const Gateway::UpstreamReport &report) override
    {
        if (++queries <= 2)
            throw std::out_of_range("an odd state");
        co_return co_await Engine::state(report);
    }
    asio::awaitable<Gateway::OrderOutcome> order(const Gateway::UpstreamReport &,
                                                 const Gateway::WeightsOrder &order,
                                                 std::function<bool()>) override
    {
        if (++orders == 1)
            throw std::length_error("an odd answer");
        weights = order.version;
        co_return Gateway::OrderOutcome::Accepted;
    }

    int queries = 0;
};

/// While the connection for the first order is made, the process is frozen.
class EngineAfterFreeze final : public Engine
{
public:
    EngineAfterFreeze(Core::ManualClock &clock, const Gateway::FleetJournal &journal)
        : m_clock(clock)
        , m_journal(journal)
    { }

    asio::awaitable<Gateway::OrderOutcome> order(const Gateway::UpstreamReport &,
                                                 const Gateway::WeightsOrder &order,
                                                 std::function<bool()> maySend) override
    {
        if (++connections == 1)
            m_clock.advance(Gateway::OrderLease::Duration);
        if (!maySend())
            throw Core::Error(Core::ErrorKind::UpstreamUnreachable, "cancelled before sending");
        ++orders;
        isUnderLease = m_journal.lease().token(m_clock.now(), 0ms) == order.fencingToken;
        weights = order.version;
        co_return Gateway::OrderOutcome::Accepted;
    }

    int connections = 0;
    bool isUnderLease = false;

private:
    Core::ManualClock &m_clock;
    const Gateway::FleetJournal &m_journal;
};

struct Fixture
{
    Core::ManualClock clock;
    GatewayTests::HangingLog log;
    Gateway::PoisonTable poison;
    Gateway::GatewaySettings settings = settingsOf("a");
    Gateway::FleetMembers members {{settings.instance, "a", {}}, clock};
    Gateway::FleetJournal journal {log, clock, settings, poison, members};
    Gateway::UpstreamFleet fleet;
    Gateway::WeightsTargets targets;
    Gateway::GatewayMetrics metrics;
    asio::io_context context;

    Fixture()
    {
        clock.advance(1h);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("engine");
        report.weights[Model] = 1;
        fleet.apply(report);
        targets.addTarget(Model, {2, clock.now(), clock.now()});
    }
    static Gateway::GatewaySettings settingsOf(const std::string &name)
    {
        Gateway::GatewaySettings settings;
        settings.instance = Core::InstanceId(name);
        return settings;
    }
    /// Runs the rollout until the engine has the new weights, for some seconds at most.
    void roll(Engine &engine)
    {
        Gateway::WeightsRollout rollout(
            {journal, members, engine, fleet, targets, clock, metrics, settings});
        asio::co_spawn(context, journal.watch(), asio::detached);
        asio::co_spawn(context, rollout.run(), asio::detached);
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                for (int n = 0; n < 1'000 && engine.weights == 1; ++n) {
                    co_await Gateway::sleepFor(5ms);
                    clock.advance(5ms);
                }
                context.stop();
            },
            asio::detached);
        context.run();
    }
};

} // namespace

TEST_CASE("an order is not sent under a lease that ended while its connection was made")
{
    Fixture fixture;
    EngineAfterFreeze engine(fixture.clock, fixture.journal);
    fixture.roll(engine);
    CHECK(engine.connections == 2);
    CHECK(engine.orders == 1);
    CHECK(engine.isUnderLease);
}

TEST_CASE("an engine that leaves orders unanswered misses the weights bound")
{
    Fixture fixture;
    SilentEngine engine(fixture.clock);
    const auto named = fixture.clock.now();
    fixture.roll(engine);
    CHECK(engine.weights == 2);
    CHECK(fixture.clock.now() - named < fixture.settings.weightsBound);
}

TEST_CASE("an engine is ordered again after an answer that ended with an unexpected exception")
{
    Fixture fixture;
    OddEngine engine;
    fixture.roll(engine);
    CHECK(engine.orders > 1);
    CHECK(engine.weights == 2);
}
