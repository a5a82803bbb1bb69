#pragma once

#include <LibConfiguration/ConfigurationReader.h>
#include <LibCore/Clock.h>
#include <LibCore/IoThreads.h>
#include <LibCore/ProcessSignals.h>
#include <LibCore/Result.h>
#include <LibHttp/Server.h>
#include <LibPlatform/InMemoryLog.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/LogService.h>
#include <LibRouter/AdminPort.h>
#include <LibRouter/DirectoryWatcher.h>
#include <LibRouter/Instance.h>
#include <LibRouter/LoadProber.h>
#include <LibRouter/RequestRouter.h>
#include <LibRouter/UsageAccount.h>
#include <LibRouter/UsageReporter.h>
#include <LibSiblings/SiblingService.h>

#include <jujubesaddled/Settings.h>

#include <memory>
#include <random>

namespace Daemon {

/// Owns and connects the components of an entry instance.
class Daemon
{
public:
    /// Opens the ports, as soon as they can be opened, and starts the background work. Fails with
    /// SettingsInvalid or ConfigurationInvalid. Returns null when a signal asks the program to end.
    static Core::Result<std::unique_ptr<Daemon>> create(const Settings &settings,
                                                        Core::ProcessSignals &signals);
    ~Daemon();

    /// Blocks until SIGTERM or SIGINT, then waits for running requests, up to the drain limit.
    void runUntilSignal(Core::ProcessSignals &signals);
    /// Stops all threads.
    void stop();

private:
    explicit Daemon(const Settings &settings);

    void createPlatform();
    void createEmbeddedPlatform();
    void createRemotePlatform();
    void loadEmbeddedConfiguration();
    void createClaims();
    void createSiblings();
    /// Opens the ports that are not open yet. Throws Error(SettingsInvalid) when one cannot be
    /// opened, and may then be called again.
    void openPorts();
    void addStatus(boost::json::object &status) const;
    boost::asio::awaitable<Claims::HolderReply> askHolder(Claims::HolderQuery query);
    boost::asio::awaitable<void> tickAdmission();
    void startControl();
    void logPorts();
    void applyLimits(const Configuration::Limits &limits);
    void drain();
    void waitForRequests();
    void flushRecords();

    Settings m_settings;
    Core::SystemClock m_clock;
    Router::Instance m_instance;
    std::mt19937_64 m_random {std::random_device {}()};
    std::unique_ptr<Platform::InMemoryLog> m_embeddedLog;
    std::unique_ptr<Platform::LogService> m_log;
    std::unique_ptr<Platform::InstanceDirectory> m_platformDirectory;
    std::unique_ptr<Configuration::ConfigurationReader> m_configurationReader;
    std::unique_ptr<Router::UsageReporter> m_usageReporter;
    std::unique_ptr<Router::UsageAccount> m_usageAccount;
    std::shared_ptr<Claims::ClaimCoordinator> m_claims;
    std::unique_ptr<Router::DirectoryWatcher> m_directoryWatcher;
    Router::LoadProber m_loadProber;
    Router::RequestRouter m_router;
    Router::AdminPort m_adminPort;
    /// Runs background work, separate from the threads that serve requests.
    Core::IoThreads m_controlThread {1};
    Core::IoThreads m_requestThreads;
    /// Null without a peer port.
    std::unique_ptr<Siblings::SiblingService> m_siblings;
    /// The limits of the embedded document; all zeros with a remote platform.
    Configuration::Limits m_limits;
    std::unique_ptr<Http::Server> m_server;
    std::unique_ptr<Http::Server> m_adminServer;
};

} // namespace Daemon
