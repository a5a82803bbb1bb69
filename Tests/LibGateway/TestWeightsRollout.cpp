#include "HangingLog.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/WeightsRollout.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto Model = "model";

/// An engine. While the connection for the first order is made, the process is frozen.
class EngineAfterFreeze final : public Gateway::EngineControl
{
public:
    EngineAfterFreeze(Core::ManualClock &clock, const Gateway::FleetJournal &journal)
        : m_clock(clock)
        , m_journal(journal)
    { }

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

    std::uint64_t weights = 1;
    int connections = 0;
    int orders = 0;
    bool isUnderLease = false;

private:
    Core::ManualClock &m_clock;
    const Gateway::FleetJournal &m_journal;
};

} // namespace

TEST_CASE("an order is not sent under a lease that ended while its connection was made")
{
    Core::ManualClock clock;
    clock.advance(1h);
    GatewayTests::HangingLog log;
    Gateway::PoisonRequestTable poison;
    Gateway::PoisonPartTable poisonParts;
    Gateway::GatewaySettings settings;
    settings.instance = Core::InstanceId("a");
    Gateway::FleetMembers members({settings.instance, "a", {}}, clock);
    Gateway::FleetJournal journal(log, clock, settings, poison, poisonParts, members);
    Gateway::UpstreamFleet fleet;
    Gateway::UpstreamReport report;
    report.id = Core::UpstreamId("engine");
    report.weights[Model] = 1;
    fleet.apply(report);
    Gateway::WeightsTargets targets;
    targets.addTarget(Model, {2, clock.now(), clock.now()});
    Gateway::GatewayMetrics metrics;
    EngineAfterFreeze engine(clock, journal);
    Gateway::WeightsRollout rollout(
        {journal, members, engine, fleet, targets, clock, metrics, settings});
    asio::io_context context;
    asio::co_spawn(context, journal.watch(), asio::detached);
    asio::co_spawn(context, rollout.run(), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int n = 0; n < 1'000 && engine.orders == 0; ++n) {
                co_await Gateway::sleepFor(5ms);
                clock.advance(5ms);
            }
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(engine.connections == 2);
    CHECK(engine.orders == 1);
    CHECK(engine.isUnderLease);
}
