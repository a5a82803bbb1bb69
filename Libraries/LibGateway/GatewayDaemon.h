#pragma once

#include <LibCore/IoThreads.h>
#include <LibGateway/CacheSnapshotService.h>
#include <LibGateway/EngineControl.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/KvCacheStoreMonitor.h>
#include <LibGateway/SharedLog.h>
#include <LibGateway/SiblingExchange.h>
#include <LibGateway/WeightRoller.h>
#include <LibHttp/Server.h>

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Gateway {

/// What a gateway process needs from outside: the fleet's logs, and the languages of its records,
/// callers and upstreams.
struct GatewayInterfaces
{
    FleetLog &log;
    const RecordDecoder &decoder;
    const RequestDialect &dialect;
    EngineControl &engines;
    const Core::Clock &clock;
};

/// One gateway process: its ports, the loops that follow the store, and its orderly end.
class GatewayDaemon
{
public:
    GatewayDaemon(const GatewaySettings &settings, GatewayInterfaces interfaces);
    ~GatewayDaemon();

    /// Opens the ports and begins to follow the store. Throws Error(SettingsInvalid) when a port
    /// cannot be opened.
    void start();
    /// Starts, and serves until SIGTERM or SIGINT and the end of what runs then. Returns the exit
    /// code.
    int run();

    /// Where callers connect; for settings that leave the port open.
    Http::Endpoint callers() const { return m_callers->localEndpoint(); }
    Http::Endpoint readiness() const { return m_readiness->localEndpoint(); }

    /// Gives the settings anew when they have changed, or whenever that is wanted (on SIGHUP).
    /// Nothing when they have not changed or cannot be read. May be empty.
    std::function<std::optional<GatewaySettings>(bool isForced)> reload;

private:
    void startLoops();
    void applyConfiguration();
    void connectCallbacks();
    void addGauges();
    /// Keeps the number of instances that share budgets up to date.
    boost::asio::awaitable<void> countInstances();
    /// Takes the bounds of newer settings; names and addresses stay those of the start.
    void applySettings(const GatewaySettings &settings);
    boost::asio::awaitable<void> watchSettings();
    boost::asio::awaitable<void> answerOperator(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> awaitSignals();
    boost::asio::awaitable<void> drain();

    GatewaySettings m_settings;
    GatewayInterfaces m_interfaces;
    Core::IoThreads m_threads;
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
    SiblingExchange m_siblings;
    KvCacheStoreMonitor m_storeMonitor;
    CacheSnapshotService m_cacheSnapshots;
    WeightRoller m_roller;
    std::unique_ptr<Http::Server> m_callers;
    std::unique_ptr<Http::Server> m_readiness;
    /// Where siblings ask for what this instance has read of the store's logs.
    std::unique_ptr<Http::Server> m_siblingCalls;
    bool m_wasReady = false;
};

} // namespace Gateway
