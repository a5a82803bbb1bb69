#include "GatewayFleet.h"

#include <LibHttp/Endpoint.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace Soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto WatchInterval = 10ms;
constexpr auto CheckInterval = 1'000ms;
constexpr auto Grace = 8'000ms;
// RecoverS of the deployments.
constexpr auto ReadyBound = 12'000ms;
// After SIGTERM.
constexpr auto UnreadyBound = 4'000ms;
constexpr auto StartPollInterval = 1ms;
constexpr auto StartTimeout = 2'000ms;
constexpr std::uint16_t PortsPerInstance = 3;
// MemoryMb of the deployments.
constexpr std::size_t MemoryLimit = 260'000'000;

/// Whether three ports can be opened; ports below the range that the system hands out itself.
bool arePortsFree(std::uint16_t first)
{
    asio::io_context context;
    boost::system::error_code ec;
    for (std::uint16_t port = first; port < first + PortsPerInstance; ++port) {
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (ec)
            return false;
    }
    asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
    datagrams.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first + 2)}, ec);
    return !ec;
}

std::uint16_t nextPorts()
{
    constexpr std::uint16_t First = 10'000;
    constexpr std::uint16_t Span = 20'000;
    static std::uint32_t offset = static_cast<std::uint32_t>(::getpid()) * 97;
    for (;;) {
        offset += PortsPerInstance;
        const auto port = static_cast<std::uint16_t>(First + offset % Span);
        if (arePortsFree(port))
            return port;
    }
}

/// Whether the process has begun to run its own code, which opens a queue of events.
bool hasBegun(pid_t pid)
{
    std::error_code ec;
    for (const auto &entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ec)) {
        std::error_code linkError;
        const auto target = std::filesystem::read_symlink(entry.path(), linkError);
        if (target.string().find("eventpoll") != std::string::npos)
            return true;
    }
    return false;
}

std::string describe(int status)
{
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
}

} // namespace

GatewayFleet::GatewayFleet(World &world, std::string folder, std::string program)
    : m_world(world)
    , m_folder(std::move(folder))
    , m_program(std::move(program))
{ }

GatewayFleet::~GatewayFleet() = default;

std::string GatewayFleet::path(const Instance &instance, const std::string &suffix) const
{
    return m_folder + "/" + instance.name + suffix;
}

void GatewayFleet::add()
{
    auto &instance = *m_instances.emplace_back(std::make_unique<Instance>());
    instance.name = "edge-" + std::to_string(m_instances.size());
    instance.zone = m_world.zone(m_instances.size() - 1);
    instance.firstPort = nextPorts();
    instance.store = Http::formatEndpoint(m_world.store.addCaller(instance.name));
    start(instance);
    asio::co_spawn(m_world.context, watch(instance), asio::detached);
    asio::co_spawn(m_world.context, checkReadiness(instance), asio::detached);
}

std::pair<std::string, std::string> GatewayFleet::settings(const Instance &instance) const
{
    const auto address = [&](int n) {
        return "\"127.0.0.1:" + std::to_string(instance.firstPort + n) + "\"";
    };
    const auto siblings = std::to_string(instance.firstPort + 2);
    auto first = "NodeName = \"" + instance.name + "\"\nZone = \"" + instance.zone
                 + "\"\nPortRange = [" + siblings + "," + siblings
                 + "]\nHeartbeatMs = 1200\n[Listen]\nFront = " + address(0)
                 + "\nReady = " + address(1) + "\n";
    auto second = "[Limits]\nLinkMbps = 1000.0\n[Bounds]\nStableWindowMs = 3000\nDrainMs = 2000\n"
                  "GraceS = 8\nConfigApplyMs = 2000\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n"
                  "BudgetWindowS = 10\nBudgetSlack = 52\nLeaseMs = 3000\nVersionMs = 6000\n"
                  "[Platform]\nkeep_s = 20\nAddress = \""
                  + instance.store + "\"\n";
    return {std::move(first), std::move(second)};
}

void GatewayFleet::writeSettings(const Instance &instance) const
{
    const auto [first, second] = settings(instance);
    std::ofstream file(path(instance, ".toml"));
    // A reader may see half of the file.
    file << first << std::flush << second;
}

void GatewayFleet::start(Instance &instance)
{
    writeSettings(instance);
    instance.terminatedAt.reset();
    instance.killedAt.reset();
    instance.reloadedAt.reset();
    instance.earlySignal.reset();
    instance.startedAt = m_world.now();
    endDisturbances(instance);
    // A start by the test is a disturbance of its own.
    beginDisturbance(instance, false);
    endDisturbances(instance);
    instance.isOverMemory = false;
    const std::vector<std::string> arguments {"--settings", path(instance, ".toml")};
    if (instance.logReaderEnd) {
        instance.process = std::make_unique<Processes::Process>(m_program, arguments);
        asio::co_spawn(m_world.context, closeLog(instance, *instance.logReaderEnd), asio::detached);
        instance.logReaderEnd.reset();
    } else {
        instance.process =
            std::make_unique<Processes::Process>(m_program, arguments, path(instance, ".log"));
    }
    if (instance.startSignal) {
        const auto [signal, delay] = *instance.startSignal;
        instance.startSignal.reset();
        asio::co_spawn(m_world.context, signalAtStart(instance, signal, delay), asio::detached);
    }
}

void GatewayFleet::beginDisturbance(const Instance &instance, bool isPlanned)
{
    Disturbance disturbance;
    disturbance.instance = instance.name;
    disturbance.from = m_world.now();
    disturbance.isPlanned = isPlanned;
    m_world.history.disturbances.push_back(disturbance);
}

void GatewayFleet::endDisturbances(const Instance &instance)
{
    for (auto &disturbance : m_world.history.disturbances) {
        if (disturbance.instance == instance.name && disturbance.to == Time::max())
            disturbance.to = m_world.now();
    }
}

void GatewayFleet::noteFault(const Instance &instance, std::string what)
{
    m_world.history.faults.push_back({instance.name, m_world.now(), std::move(what)});
}

void GatewayFleet::terminate(std::size_t n)
{
    auto &instance = *m_instances[n % m_instances.size()];
    if (instance.process && !instance.terminatedAt)
        sendTerminate(instance);
}

void GatewayFleet::sendSignal(Instance &instance, int signal)
{
    if (!hasBegun(instance.process->pid()))
        instance.earlySignal = signal;
    instance.process->signal(signal);
}

void GatewayFleet::sendTerminate(Instance &instance)
{
    instance.terminatedAt = m_world.now();
    beginDisturbance(instance, true);
    if (instance.missedChecks < 2)
        m_world.history.stops.push_back({instance.name, *instance.terminatedAt});
    sendSignal(instance, SIGTERM);
}

void GatewayFleet::kill(std::size_t n)
{
    auto &instance = *m_instances[n % m_instances.size()];
    if (!instance.process || instance.killedAt)
        return;
    instance.killedAt = m_world.now();
    beginDisturbance(instance, false);
    instance.process->signal(SIGKILL);
}

void GatewayFleet::reload(std::size_t n)
{
    auto &instance = *m_instances[n % m_instances.size()];
    if (instance.process)
        asio::co_spawn(m_world.context, reloadInSteps(instance), asio::detached);
}

asio::awaitable<void> GatewayFleet::reloadInSteps(Instance &instance)
{
    const auto startedAt = instance.startedAt;
    {
        const auto [first, second] = settings(instance);
        std::ofstream(path(instance, ".toml")) << first;
        sendReload(instance);
        co_await pause(m_world.dice.time(0, 50));
    }
    writeSettings(instance);
    co_await pause(m_world.dice.time(0, 5));
    if (instance.process && instance.startedAt == startedAt)
        sendReload(instance);
}

void GatewayFleet::holdPorts(std::size_t n, unsigned port, Time time)
{
    m_instances[n % m_instances.size()]->heldPort = {port, time};
    kill(n);
}

asio::awaitable<void> GatewayFleet::hold(std::uint16_t port, bool isDatagram, Time time)
{
    tcp::acceptor acceptor(m_world.context, tcp::v4());
    asio::ip::udp::socket datagrams(m_world.context, asio::ip::udp::v4());
    boost::system::error_code ec;
    if (isDatagram) {
        datagrams.bind({asio::ip::address_v4::loopback(), port}, ec);
    } else {
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
            acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    co_await pause(time);
}

void GatewayFleet::endLogReader(std::size_t n, Time delay)
{
    m_instances[n % m_instances.size()]->logReaderEnd = delay;
    kill(n);
}

asio::awaitable<void> GatewayFleet::closeLog(Instance &instance, Time delay)
{
    const auto startedAt = instance.startedAt;
    co_await pause(delay);
    if (instance.process && instance.startedAt == startedAt)
        instance.process->closeOutput();
}

void GatewayFleet::checkMemory(Instance &instance)
{
    if (!instance.process)
        return;
    const auto bytes = instance.process->residentBytes();
    m_greatestMemory = std::max(m_greatestMemory, bytes);
    if (instance.isOverMemory || bytes <= MemoryLimit)
        return;
    instance.isOverMemory = true;
    noteFault(instance, "takes " + std::to_string(bytes / 1'000'000) + " MB of memory");
}

void GatewayFleet::sendReload(Instance &instance)
{
    instance.reloadedAt = m_world.now();
    sendSignal(instance, SIGHUP);
}

void GatewayFleet::freeze(std::size_t n, Time time)
{
    auto &instance = *m_instances[n % m_instances.size()];
    if (!instance.process)
        return;
    const auto disturbance = m_world.history.disturbances.size();
    beginDisturbance(instance, false);
    instance.process->signal(SIGSTOP);
    asio::co_spawn(m_world.context, thaw(instance, time, disturbance), asio::detached);
}

asio::awaitable<void> GatewayFleet::thaw(Instance &instance, Time time, std::size_t disturbance)
{
    co_await pause(time);
    m_world.history.disturbances[disturbance].to = m_world.now();
    if (instance.process)
        instance.process->signal(SIGCONT);
}

void GatewayFleet::signalNextStart(std::size_t n, int signal, Time delay)
{
    m_instances[n % m_instances.size()]->startSignal = {signal, delay};
    kill(n);
}

asio::awaitable<void> GatewayFleet::signalAtStart(Instance &instance, int signal, Time delay)
{
    const auto startedAt = instance.startedAt;
    while (instance.process && instance.startedAt == startedAt
           && !hasBegun(instance.process->pid())) {
        co_await pause(StartPollInterval);
        if (m_world.now() > startedAt + StartTimeout)
            co_return;
    }
    if (delay > 0ms)
        co_await pause(delay);
    if (!instance.process || instance.startedAt != startedAt || instance.terminatedAt)
        co_return;
    // The settings were written just before the start.
    if (signal == SIGHUP)
        sendReload(instance);
    else
        sendTerminate(instance);
}

void GatewayFleet::noteEnd(Instance &instance, int status)
{
    instance.process.reset();
    instance.missedChecks = 2;
    instance.restartAt = m_world.now() + m_world.dice.time(50, 500);
    if (instance.heldPort) {
        const auto [port, time] = *instance.heldPort;
        instance.heldPort.reset();
        asio::co_spawn(m_world.context,
                       hold(static_cast<std::uint16_t>(instance.firstPort + port),
                            port == PortsPerInstance - 1, time),
                       asio::detached);
    }
    if (instance.killedAt)
        return;
    const bool isClean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (instance.terminatedAt && isClean)
        return;
    if (instance.earlySignal && WIFSIGNALED(status) && WTERMSIG(status) == *instance.earlySignal)
        return;
    auto what = "ended with " + describe(status) + " "
                + std::to_string((m_world.now() - instance.startedAt).count())
                + " ms after its start";
    if (instance.terminatedAt)
        what += ", SIGTERM " + std::to_string((*instance.terminatedAt - instance.startedAt).count())
                + " ms after it";
    if (instance.reloadedAt)
        what += ", SIGHUP " + std::to_string((*instance.reloadedAt - instance.startedAt).count())
                + " ms after it";
    noteFault(instance, what);
}

asio::awaitable<void> GatewayFleet::watch(Instance &instance)
{
    while (!m_world.isStopping) {
        co_await pause(WatchInterval);
        const auto now = m_world.now();
        if (!instance.process) {
            if (now >= instance.restartAt)
                start(instance);
            continue;
        }
        if (const auto status = instance.process->takeEnd()) {
            noteEnd(instance, *status);
        } else if (instance.terminatedAt && !instance.killedAt
                   && now > *instance.terminatedAt + Grace) {
            instance.killedAt = now;
            instance.process->signal(SIGKILL);
        }
    }
}

void GatewayFleet::checkStop(const Instance &instance)
{
    if (!instance.process || !instance.terminatedAt || instance.missedChecks >= 2
        || m_world.now() < *instance.terminatedAt + UnreadyBound)
        return;
    for (auto &stop : m_world.history.stops) {
        if (stop.instance == instance.name && stop.at >= *instance.terminatedAt)
            stop.isReadyLater = true;
    }
}

bool GatewayFleet::hadTimeToBeReady(const Instance &instance) const
{
    const auto since = m_world.now() - ReadyBound;
    if (!instance.process || instance.startedAt > since || instance.lastReady > since)
        return false;
    const auto &disturbances = m_world.history.disturbances;
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const auto &item) {
        return (item.instance.empty() || item.instance == instance.name) && item.to >= since;
    });
}

asio::awaitable<void> GatewayFleet::checkReadiness(Instance &instance)
{
    const auto port = static_cast<std::uint16_t>(instance.firstPort + 1);
    while (!m_world.isStopping) {
        beast::tcp_stream stream(m_world.context);
        stream.expires_after(CheckInterval);
        boost::system::error_code ec;
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
        http::request<http::empty_body> request(http::verb::get, "/ready", 11);
        request.set(http::field::host, instance.name);
        if (!ec)
            co_await http::async_write(stream, request,
                                       asio::redirect_error(asio::use_awaitable, ec));
        beast::flat_buffer buf;
        http::response<http::string_body> response;
        if (!ec)
            co_await http::async_read(stream, buf, response,
                                      asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && response.result_int() == 200) {
            instance.missedChecks = 0;
            instance.lastReady = m_world.now();
        } else {
            ++instance.missedChecks;
        }
        checkMemory(instance);
        checkStop(instance);
        if (hadTimeToBeReady(instance)) {
            noteFault(instance, "not ready since " + std::to_string(instance.lastReady.count())
                                    + " ms, without a disturbance");
            instance.lastReady = m_world.now();
        }
        co_await pause(CheckInterval);
    }
}

} // namespace Soak
