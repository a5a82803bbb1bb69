#pragma once

#include "../StandIns/StoreStandIn.h"
#include "../StandIns/WorkerStandIn.h"

#include <LibHttp/Client.h>

#include <Processes/Process.h>

#include <memory>
#include <string>
#include <vector>

namespace PlatformTests {

/// How a gateway of a test is set up.
struct GatewayOptions
{
    std::string name = "edge-1";
    unsigned revokeMs = 5'000;
    unsigned graceS = 8;
};

/// A store, workers, and gateway processes before them.
class GatewayFixture
{
public:
    GatewayFixture();
    ~GatewayFixture();

    StandIns::StoreStandIn store;

    /// Starts a worker and lists it in the store.
    StandIns::WorkerStandIn &addWorker(const std::string &id, const std::string &service);
    /// Writes a configuration: version and the JSON of routes and tenants.
    void configure(unsigned version, const std::string &routes = defaultRoutes(),
                   const std::string &tenants = defaultTenants());
    /// Starts a gateway; with waits until it is ready.
    Processes::Process &startGateway(const GatewayOptions &options = {},
                                     bool waitsUntilReady = true);

    /// Writes a gateway's settings file, with the lines in front of it.
    std::string writeSettings(const GatewayOptions &options, const std::string &lines = {}) const;

    /// Sends a request to the newest gateway.
    Http::Response send(Http::Request request) const;
    /// Asks the newest gateway whether it is ready.
    unsigned readiness() const;
    Http::Endpoint callers() const { return m_callers; }

    /// A request of the given kind with a key of tenant "liit".
    static Http::Request request(const std::string &target, const std::string &id,
                                 const std::string &method = "POST");
    /// A stream request of a prompt with two parts.
    static Http::Request streamRequest(const std::string &target, const std::string &id);

    static std::string defaultRoutes();
    static std::string defaultTenants();
    /// Waits until the condition holds; false after a long time.
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
