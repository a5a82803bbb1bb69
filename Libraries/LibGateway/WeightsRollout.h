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

/// Brings engines to the weights that operators named, some at a time, while this instance holds
/// the lease for orders.
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
        /// When an engine is expected to have read this many tokens; may be empty.
        std::function<EngineModel::Milliseconds(const Upstream &, std::uint64_t tokens)>
            expectedFirst;
    };

    explicit WeightsRollout(Dependencies dependencies);

    /// Works until the process ends.
    boost::asio::awaitable<void> run();

    /// Asks an engine for its weights, unless it is being asked.
    boost::asio::awaitable<void> refresh(std::shared_ptr<Upstream> engine);

    /// Called when an engine is to begin nothing for a while, so that siblings hear of it.
    std::function<void(const Upstream &, std::chrono::milliseconds)> onPause;
    /// Called when an engine was seen to have weights.
    std::function<void(const Upstream &, const std::string &model, std::uint64_t version)>
        onWeightsSeen;

private:
    /// One engine that has older weights than were named.
    struct Task
    {
        std::shared_ptr<Upstream> engine;
        std::string model;
        std::uint64_t version = 0;
        /// Since when the engine's weights are outdated.
        Core::Clock::Monotonic since;
    };

    std::vector<Task> tasks() const;
    bool isTurn(Core::Clock::Monotonic targetSince) const;
    boost::asio::awaitable<bool> ensureLease(Core::Clock::Monotonic targetSince);
    boost::asio::awaitable<void> roll(Task task);
    boost::asio::awaitable<bool> sendOrder(const Task &task);
    /// How long what waits at the engine takes until it runs.
    std::chrono::milliseconds timeUntilStarted(const Upstream &engine) const;
    boost::asio::awaitable<void> awaitWeights(const Task &task);
    boost::asio::awaitable<EngineState> stateOf(Upstream &engine);
    void noteWeights(Upstream &engine, const EngineState &state) const;
    void backOff(const Task &task, std::chrono::milliseconds time);

    Dependencies m_dependencies;
    std::map<Core::UpstreamId, Core::Clock::Monotonic> m_notBefore;
    /// Orders that engines are known to have accepted, where their own word may be older.
    std::map<Core::UpstreamId, std::uint64_t> m_acceptedOrders;
    std::size_t m_running = 0;
    std::map<Core::UpstreamId, bool> m_isRolling;
    std::map<Core::UpstreamId, bool> m_isRefreshing;
};

} // namespace Gateway
