#pragma once

#include "../StandIns/StoreStandIn.h"
#include "../StandIns/WorkerStandIn.h"

#include <LibHttp/Client.h>

#include <Processes/Process.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PlatformTests {

/// Settings of a gateway in a test.
struct GatewayOptions
{
    std::string name = "edge-1";
    unsigned revokeMs = 5'000;
    unsigned graceS = 8;
    /// The port for datagrams of siblings; without one, gateways only share the store.
    std::uint16_t siblingsPort = 0;
    unsigned versionMs = 6'000;
    std::uint16_t callersPort = 0;
    std::uint16_t readinessPort = 0;
    /// The address of the store, if the gateway has one of its own (StoreStandIn::addCaller()).
    std::optional<Http::Endpoint> store;
};

/// A store, workers and gateway processes.
class GatewayFixture
{
public:
    GatewayFixture();
    ~GatewayFixture();

    StandIns::StoreStandIn store;

    /// Starts a worker and registers it in the store.
    StandIns::WorkerStandIn &addWorker(const std::string &id, const std::string &service);
    /// Writes the worker's entry again, as a worker that restarted.
    void restartWorker(StandIns::WorkerStandIn &worker);
    /// Writes a configuration with the given version and the JSON of routes and tenants.
    void configure(unsigned version, const std::string &routes = defaultRoutes(),
                   const std::string &tenants = defaultTenants(),
                   std::size_t maxBodyBytes = 100'000);
    /// Starts a gateway, and optionally waits until it is ready.
    Processes::Process &startGateway(const GatewayOptions &options = {},
                                     bool waitsUntilReady = true);

    /// Starts a gateway with a settings file and does not wait for anything.
    Processes::Process &spawnGateway(const std::string &settingsPath);
    /// Starts a gateway through a shell that runs the commands before.
    Processes::Process &spawnGateway(const std::string &settingsPath, const std::string &commands);
    /// Waits until the gateway has opened its ports.
    void awaitPorts(Processes::Process &gateway);

    /// Writes the settings file of a gateway, with extra lines at the beginning.
    std::string writeSettings(const GatewayOptions &options, const std::string &lines = {}) const;

    /// Sends a request to the most recently started gateway.
    Http::Response send(Http::Request request) const;
    /// Sends a request to the given gateway.
    Http::Response send(const Http::Endpoint &gateway, Http::Request request) const;
    /// Returns the readiness status of the most recently started gateway.
    unsigned readiness() const;
    Http::Endpoint callers() const { return m_callers; }

    /// Returns a request with a key of tenant "liit".
    static Http::Request request(const std::string &target, const std::string &id,
                                 const std::string &method = "POST");
    /// Returns a streaming request whose prompt has two parts.
    static Http::Request streamRequest(const std::string &target, const std::string &id);

    static std::string defaultRoutes();
    static std::string defaultTenants();
    /// Returns a port that is currently free for datagrams and connections.
    static std::uint16_t freePort();
    /// Waits until the condition holds. Returns false after a timeout.
    static bool eventually(const std::function<bool()> &condition);

    Core::IoThreads &threads() { return m_threads; }

private:
    Core::IoThreads &m_threads;
    mutable Http::Client m_client;
    std::vector<std::unique_ptr<StandIns::WorkerStandIn>> m_workers;
    std::vector<std::unique_ptr<Processes::Process>> m_gateways;
    std::string m_folder;
    Http::Endpoint m_callers;
    Http::Endpoint m_readiness;
};

} // namespace PlatformTests
