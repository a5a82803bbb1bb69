#include "GatewayFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_future.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace PlatformTests {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto WaitTimeout = 30s;
constexpr auto PollInterval = 5ms;

/// Outlives the fixtures, so that connections of a finished test can close.
Core::IoThreads &sharedThreads()
{
    static Core::IoThreads threads(2);
    return threads;
}

std::string temporaryFolder()
{
    std::string name = std::filesystem::temp_directory_path() / "gateway-test-XXXXXX";
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("cannot create a temporary folder");
    return name;
}

} // namespace

GatewayFixture::GatewayFixture()
    : store(sharedThreads())
    , m_threads(sharedThreads())
    , m_folder(temporaryFolder())
{ }

GatewayFixture::~GatewayFixture()
{
    m_gateways.clear();
    std::filesystem::remove_all(m_folder);
}

StandIns::WorkerStandIn &GatewayFixture::addWorker(const std::string &id,
                                                   const std::string &service)
{
    m_workers.push_back(std::make_unique<StandIns::WorkerStandIn>(m_threads, id, service));
    store.put("keyed.servers", id, m_workers.back()->entry());
    return *m_workers.back();
}

void GatewayFixture::restartWorker(StandIns::WorkerStandIn &worker)
{
    worker.restart();
    store.put("keyed.servers", worker.id(), worker.entry());
}

std::string GatewayFixture::defaultRoutes()
{
    return R"([
{"Name":"calls","Host":"a.example","PathPrefix":"/calls/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1},
{"Name":"views","Host":"a.example","PathPrefix":"/views/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2},
{"Name":"streams","Host":"a.example","PathPrefix":"/streams/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":0,"Service":"llm","MaxAttempts":2,"Resumable":true},
{"Name":"once","Host":"a.example","PathPrefix":"/streams/once/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":1,"Service":"llm","MaxAttempts":1,"Resumable":false}])";
}

std::string GatewayFixture::defaultTenants()
{
    return R"([{"Name":"liit","ApiKeys":["key-1","key-2"]},{"Name":"kool","ApiKeys":["key-3"],"Isolated":true}])";
}

void GatewayFixture::configure(unsigned version, const std::string &routes,
                               const std::string &tenants, std::size_t maxBodyBytes)
{
    store.put(
        "keyed.op", "config",
        R"({"Version":)" + std::to_string(version) + R"(,"Routes":)" + routes
            + R"(,"Services":[{"Name":"app","MaxConns":96},{"Name":"llm","MaxConns":230,"Engine":{"Slots":8,"KvCapacity":200000,"TokenKvBytes":327680,"LinkMbps":1500000.0,"Models":[{"Name":"model"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)"
            + std::to_string(maxBodyBytes)
            + R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":)" + tenants + "}");
}

std::string GatewayFixture::writeSettings(const GatewayOptions &options,
                                          const std::string &lines) const
{
    auto path = m_folder + "/" + options.name + ".toml";
    const auto port = std::to_string(options.siblingsPort);
    const auto ports = port + "," + port;
    std::ofstream(path) << lines << "NodeName = \"" << options.name << "\"\nZone = \"a\"\n"
                        << (lines.empty() ? "PortRange = [" + ports + "]\n" : "")
                        << "HeartbeatMs = 1200\n"
                        << "[Listen]\nFront = \"127.0.0.1:" << options.callersPort
                        << "\"\nReady = \"127.0.0.1:" << options.readinessPort << "\"\n"
                        << "[Bounds]\nRevokeMs = " << options.revokeMs
                        << "\nGraceS = " << options.graceS << "\nVersionMs = " << options.versionMs
                        << "\nRetryBudgetRatio = 0.2\nBudgetSlack = 52\n[Platform]\nAddress = \""
                        << Http::formatEndpoint(options.store.value_or(store.endpoint())) << "\"\n";
    return path;
}

Processes::Process &GatewayFixture::startGateway(const GatewayOptions &options,
                                                 bool waitsUntilReady)
{
    auto &gateway = spawnGateway(writeSettings(options));
    awaitPorts(gateway);
    if (waitsUntilReady && !eventually([this] { return readiness() == 200; }))
        throw std::runtime_error("the gateway did not become ready");
    return gateway;
}

Processes::Process &GatewayFixture::spawnGateway(const std::string &settingsPath)
{
    m_gateways.push_back(std::make_unique<Processes::Process>(
        "jujubesaddle-gateway", std::vector<std::string> {"--settings", settingsPath}));
    return *m_gateways.back();
}

Processes::Process &GatewayFixture::spawnGateway(const std::string &settingsPath,
                                                 const std::string &commands)
{
    const auto run = "exec '" + std::string(JUJUBE_BIN) + "/jujubesaddle-gateway' --settings '"
                     + settingsPath + "'";
    m_gateways.push_back(std::make_unique<Processes::Process>(
        "/bin/sh", std::vector<std::string> {"-c", commands + "; " + run}));
    return *m_gateways.back();
}

void GatewayFixture::awaitPorts(Processes::Process &gateway)
{
    m_callers = gateway.awaitEndpoint("\"port\":\"callers\"");
    m_readiness = gateway.awaitEndpoint("\"port\":\"readiness\"");
}

Http::Response GatewayFixture::send(Http::Request request) const
{
    return send(m_callers, std::move(request));
}

Http::Response GatewayFixture::send(const Http::Endpoint &gateway, Http::Request request) const
{
    return asio::co_spawn(m_threads.next(), m_client.fetch(gateway, std::move(request), {}),
                          asio::use_future)
        .get();
}

std::uint16_t GatewayFixture::freePort()
{
    constexpr int Attempts = 100;
    const auto loopback = asio::ip::address_v4::loopback();
    asio::io_context context;
    for (int n = 0; n < Attempts; ++n) {
        const asio::ip::tcp::acceptor acceptor(context, {loopback, 0});
        const auto port = acceptor.local_endpoint().port();
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        // Another test may use the port for datagrams alone.
        boost::system::error_code ec;
        datagrams.bind({loopback, port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no port is free for datagrams and connections");
}

unsigned GatewayFixture::readiness() const
{
    return asio::co_spawn(m_threads.next(),
                          m_client.fetch(m_readiness, Http::Request("GET", "/ready"), {}),
                          asio::use_future)
        .get()
        .status;
}

Http::Request GatewayFixture::request(const std::string &target, const std::string &id,
                                      const std::string &method)
{
    Http::Headers headers;
    headers.add("Host", "a.example");
    headers.add("Authorization", "Bearer key-1");
    headers.add("X-Jujubesaddle-Attempt-Id", id);
    headers.add("X-Jujubesaddle-Deadline-Ms", "4000");
    return {method, target, std::move(headers), method == "POST" ? "body of " + id : ""};
}

Http::Request GatewayFixture::streamRequest(const std::string &target, const std::string &id)
{
    auto result = request(target, id);
    result.headers.add("X-Jujubesaddle-Model", "model");
    result.headers.add("X-Jujubesaddle-Token-Usage", "1000,50");
    result.headers.add("X-Jujubesaddle-Prompt-Prefix", "aa:600,bb:400");
    return result;
}

bool GatewayFixture::eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + WaitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace PlatformTests
