#pragma once

#include <LibGateway/EngineControl.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>

#include <functional>
#include <map>

namespace Gateway {

/// Updates engines to the weights that operators configured, a few at a time, while this instance
/// holds the order lease.
class WeightsRollout
{
public:
    struct Dependencies
    {
        FleetJournal &journal;
        const FleetMembers &members;
        EngineControl &engines;
        UpstreamFleet &fleet;
        WeightsTargets &targets;
        const Core::Clock &clock;
        GatewayMetrics &metrics;
        Core::InstanceId self;
        /// Estimates the time until the upstream has prefilled this many tokens; may be empty.
        std::function<EngineModel::Milliseconds(const Upstream &, std::uint64_t tokens)>
            expectedFirstToken;
    };

    explicit WeightsRollout(Dependencies dependencies);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

    /// Queries an engine for its weights, unless a query is in progress.
    boost::asio::awaitable<void> refresh(std::shared_ptr<Upstream> engine);

    /// Called when an engine must not receive new requests for the given time, so that siblings can
    /// be informed; zero ends the pause.
    std::function<void(const Upstream &, std::chrono::milliseconds)> onPause;
    /// Called when an engine was found to have a newer version of the weights than was known.
    std::function<void(const Upstream &, const std::string &model, std::uint64_t version)>
        onWeightsSeen;

private:
    /// An engine to update to newer weights.
    struct Task
    {
        std::shared_ptr<Upstream> engine;
        std::string model;
        std::uint64_t version = 0;
        /// The time since which the engine's weights have been outdated.
        Core::Clock::Monotonic since;
    };

    std::vector<Task> tasks() const;
    bool isTurn(Core::Clock::Monotonic targetSince) const;
    boost::asio::awaitable<bool> ensureLease(Core::Clock::Monotonic targetSince);
    boost::asio::awaitable<void> updateEngine(Task task);
    boost::asio::awaitable<bool> sendOrder(const Task &task);
    /// Estimates the time until all queued requests have started at the engine.
    std::chrono::milliseconds timeUntilStarted(const Upstream &engine) const;
    boost::asio::awaitable<void> awaitWeights(const Task &task);
    boost::asio::awaitable<EngineState> stateOf(Upstream &engine);
    void noteWeights(Upstream &engine, const EngineState &state) const;
    void backOff(const Task &task, std::chrono::milliseconds time);

    Dependencies m_dependencies;
    std::map<Core::UpstreamId, Core::Clock::Monotonic> m_notBefore;
    /// The number of orders that each engine is known to have accepted; its last reported count may
    /// be older.
    std::map<Core::UpstreamId, std::uint64_t> m_acceptedOrders;
    std::size_t m_runningUpdates = 0;
    std::map<Core::UpstreamId, bool> m_isUpdating;
    std::map<Core::UpstreamId, bool> m_isRefreshing;
};

} // namespace Gateway
