#pragma once

#include <LibGateway/EngineControl.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsLoadPace.h>
#include <LibGateway/WeightsTargets.h>

#include <functional>
#include <map>
#include <optional>

namespace Gateway {

/// Updates engines to the weights that operators configured, a few at a time, while this instance
/// holds the order lease. An engine first finishes its requests while no new ones are sent to it,
/// so that it is idle when it receives the order and loads at once; the next engines finish theirs
/// meanwhile.
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
        const GatewaySettings &settings;
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
        /// The first target that is newer than the engine's weights.
        WeightsTargets::Target firstNewer;
    };

    std::vector<Task> tasks() const;
    std::size_t engineCount() const;
    /// Returns the number of engines that may load weights at the same time.
    std::size_t loadLimit() const;
    bool isTurn(Core::Clock::Monotonic targetSince) const;
    boost::asio::awaitable<bool> ensureLease(Core::Clock::Monotonic targetSince);
    boost::asio::awaitable<void> updateEngine(Task task);
    /// Stops new requests to the engine, waits until it has finished most of the others, orders the
    /// weights and waits for them.
    boost::asio::awaitable<void> loadWeights(const Task &task);
    void pause(const Task &task);
    boost::asio::awaitable<void> awaitIdle(const Task &task);
    /// Waits until fewer engines load weights than may do so at the same time.
    boost::asio::awaitable<void> awaitTurnToLoad(const Task &task);
    /// Returns the fencing token of an order that is sent now; empty if none may be sent.
    std::optional<std::uint64_t> orderToken() const;
    boost::asio::awaitable<bool> sendOrder(const Task &task, const EngineState &state);
    /// Sends the order, again if it gets no answer. Returns whether the engine loads the weights.
    boost::asio::awaitable<bool> sendOrderUntilAnswered(const Task &task, EngineState state);
    void noteUnanswered(const Task &task, const Core::Error &error) const;
    boost::asio::awaitable<void> awaitWeights(const Task &task);
    boost::asio::awaitable<EngineState> stateOf(Upstream &engine);
    void noteWeights(Upstream &engine, const EngineState &state) const;
    void backOff(const Task &task, std::chrono::milliseconds time);

    Dependencies m_dependencies;
    std::map<Core::UpstreamId, Core::Clock::Monotonic> m_notBefore;
    /// The number of orders that each engine is known to have accepted; its last reported count may
    /// be older.
    std::map<Core::UpstreamId, std::uint64_t> m_acceptedOrders;
    WeightsLoadPace m_pace;
    /// The number of engines that may load weights at the same time, as of the last round of run().
    std::size_t m_loadLimit = 1;
    std::size_t m_runningUpdates = 0;
    /// Engines that were sent an order and do not have the weights yet: those that are expected to
    /// load them, and those that take so long that others do not wait for them.
    std::size_t m_loading = 0;
    std::size_t m_stuck = 0;
    std::map<Core::UpstreamId, bool> m_isUpdating;
    std::map<Core::UpstreamId, bool> m_isRefreshing;
};

} // namespace Gateway
