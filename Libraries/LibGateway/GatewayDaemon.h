#pragma once

#include <LibCore/IoThreads.h>
#include <LibCore/ProcessSignals.h>
#include <LibGateway/CacheSnapshotService.h>
#include <LibGateway/EngineControl.h>
#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/EngineSpeeds.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/KvCacheStoreMonitor.h>
#include <LibGateway/PoisonNews.h>
#include <LibGateway/QuotaExchange.h>
#include <LibGateway/SharedLog.h>
#include <LibGateway/SiblingExchange.h>
#include <LibGateway/WeightsRollout.h>
#include <LibHttp/Server.h>

#include <functional>
#include <memory>
#include <optional>

namespace Gateway {

/// The external interfaces of a gateway process: the logs of the fleet, the decoder of its records,
/// the dialect of callers and upstreams, and the control of engines.
struct GatewayInterfaces
{
    FleetLog &log;
    const RecordDecoder &decoder;
    const RequestDialect &dialect;
    EngineControl &engines;
    const Core::Clock &clock;
};

/// A gateway process: its ports, the background loops and the orderly shutdown.
class GatewayDaemon
{
public:
    GatewayDaemon(const GatewaySettings &settings, GatewayInterfaces interfaces);
    ~GatewayDaemon();

    /// Opens the ports and starts the background loops. Throws Error(SettingsInvalid) when a port
    /// cannot be opened, and may then be called again.
    void start();
    /// Stops the threads. Suspended loops refer to the object, so it must not be destroyed after
    /// start().
    void stop() { m_threads.stop(); }
    /// Starts as soon as the ports can be opened, serves until SIGTERM or SIGINT, then drains the
    /// running requests; reloads the settings on SIGHUP. Signals during the drain have no effect.
    /// Returns the exit code.
    int run(Core::ProcessSignals &signals);

    /// Returns the address where callers connect; needed when the settings leave the port open.
    Http::Endpoint callers() const { return m_callers->localEndpoint(); }
    Http::Endpoint readiness() const { return m_readiness->localEndpoint(); }

    /// Returns the settings when they have changed, or in any case when forced (on SIGHUP). Returns
    /// nothing when they are unchanged or unreadable. May be empty.
    std::function<std::optional<GatewaySettings>(bool isForced)> reload;

private:
    void openPorts();
    void startLoops();
    void applyConfiguration();
    /// Applies the usage caps of the configuration, and the number of instances that share them.
    void applyQuotas();
    void connectCallbacks();
    /// Connects the poison table to siblings, journal and log.
    void connectPoison();
    /// Keeps this instance's part of the slack of the retry budgets up to date.
    void connectRetrySlack();
    /// Adds the prefill to the speed of the engine, unless it waited for a free slot.
    void noteEnginePrefill(std::uint64_t upstream, const EngineQueue::Prefill &prefill);
    void addGauges();
    void addSpeedGauges();
    /// Shows the limits that upstreams name.
    void addLimitGauge();
    /// Keeps the number of instances that share budgets up to date.
    boost::asio::awaitable<void> countInstances();
    /// Applies the time limits of the new settings. Names and addresses cannot change at run time.
    void applySettings(const GatewaySettings &settings);
    boost::asio::awaitable<void> watchSettings();
    boost::asio::awaitable<void> answerOperator(Http::ServerExchange &exchange);
    /// Serves until a signal asks for the end.
    void serve(Core::ProcessSignals &signals);
    boost::asio::awaitable<void> drain();

    GatewaySettings m_settings;
    GatewayInterfaces m_interfaces;
    Core::IoThreads m_threads;
    std::shared_ptr<Http::BodyBudget> m_bodyBudget;
    Http::Client m_client;
    ConfigurationState m_configuration;
    WeightsTargets m_weights;
    UpstreamFleet m_fleet;
    Gateway m_gateway;
    FleetMembers m_members;
    LogRelay m_relay;
    SharedLog m_log;
    FleetWatcher m_watcher;
    FleetJournal m_journal;
    PoisonNews m_poisonNews;
    EngineSpeeds m_speeds;
    SiblingExchange m_siblings;
    EngineQueueExchange m_engineQueues;
    QuotaExchange m_quotas;
    RateLimitExchange m_rateLimits;
    KvCacheStoreMonitor m_storeMonitor;
    CacheSnapshotService m_cacheSnapshots;
    WeightsRollout m_weightsRollout;
    std::unique_ptr<Http::Server> m_callers;
    std::unique_ptr<Http::Server> m_readiness;
    /// Serves siblings the records that this instance has read from the store's logs.
    std::unique_ptr<Http::Server> m_siblingCalls;
    bool m_wasReady = false;
};

} // namespace Gateway
