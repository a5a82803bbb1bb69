#include "GatewayFixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::GatewayOptions;

namespace {

constexpr unsigned ShortGraceS = 1;

GatewayOptions numbered(int number)
{
    GatewayOptions options;
    options.name = "edge-" + std::to_string(number);
    options.graceS = ShortGraceS;
    return options;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace

TEST_CASE("a signal after the first line of the log is handled, not taken by its default action")
{
    constexpr int Starts = 20;
    const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
    GatewayFixture fixture;
    std::vector<Processes::Process *> gateways;
    for (int n = 0; n < Starts; ++n) {
        auto &gateway = fixture.spawnGateway(fixture.writeSettings(numbered(n)));
        gateway.awaitLine("process_started");
        gateway.signal(number);
        gateways.push_back(&gateway);
    }
    int orderly = 0;
    for (auto *gateway : gateways) {
        if (number == SIGHUP && !gateway->hasEnded()) {
            CHECK_NOTHROW(gateway->awaitLine("settings_reloaded"));
            gateway->signal(SIGTERM);
        }
        orderly += gateway->wait() == 0 ? 1 : 0;
    }
    CHECK(orderly == Starts);
}

TEST_CASE("further signals during the drain neither end it nor the process")
{
    const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
    GatewayFixture fixture;
    auto &gateway = fixture.startGateway(numbered(1), false);
    CHECK(fixture.readiness() == 503);
    gateway.signal(SIGTERM);
    gateway.awaitLine("drain_started");
    gateway.signal(number);
    gateway.signal(number);
    CHECK_NOTHROW(gateway.awaitLine("process_stopped"));
    gateway.signal(number);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("several SIGHUPs in series reload the settings and leave the process running")
{
    GatewayFixture fixture;
    auto &gateway = fixture.startGateway(numbered(1), false);
    for (int n = 0; n < 20; ++n)
        gateway.signal(SIGHUP);
    gateway.awaitLine("settings_reloaded");
    CHECK(fixture.readiness() == 503);
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("the end of the reader of the log does not end the process")
{
    GatewayFixture fixture;
    auto &gateway = fixture.startGateway(numbered(1), false);
    CHECK(fixture.readiness() == 503);
    gateway.closeOutput();
    for (int n = 0; n < 3; ++n) {
        gateway.signal(SIGHUP);
        CHECK_NOTHROW(fixture.readiness());
    }
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a log file that has reached the limit of its size does not end the process")
{
    GatewayFixture fixture;
    const auto path = fixture.writeSettings(numbered(1));
    const auto log = path + ".log";
    auto &gateway = fixture.spawnGateway(path, "ulimit -f 0; exec >'" + log + "'");
    REQUIRE(GatewayFixture::eventually([&] { return gateway.handles(SIGTERM); }));
    gateway.signal(SIGHUP);
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a free port is found although others are held for datagrams alone")
{
    constexpr std::size_t Held = 600;
    constexpr int Searches = 600;
    asio::io_context context;
    std::vector<asio::ip::udp::socket> held;
    held.reserve(Held);
    for (std::size_t n = 0; n < Held; ++n)
        held.emplace_back(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    for (int n = 0; n < Searches; ++n)
        REQUIRE_NOTHROW(GatewayFixture::freePort());
}

TEST_CASE("a gateway whose ports are held by another process starts when they are free")
{
    GatewayFixture fixture;
    auto options = numbered(1);
    options.callersPort = GatewayFixture::freePort();
    options.readinessPort = GatewayFixture::freePort();
    options.siblingsPort = GatewayFixture::freePort();
    asio::io_context context;
    const auto loopback = asio::ip::address_v4::loopback();
    std::optional<asio::ip::tcp::acceptor> holder;
    std::optional<asio::ip::udp::socket> datagrams;
    SECTION("callers")
    {
        holder.emplace(context, Http::Endpoint(loopback, options.callersPort));
    }
    SECTION("readiness")
    {
        holder.emplace(context, Http::Endpoint(loopback, options.readinessPort));
    }
    SECTION("calls of siblings")
    {
        holder.emplace(context, Http::Endpoint(loopback, options.siblingsPort));
    }
    SECTION("datagrams of siblings")
    {
        datagrams.emplace(context, asio::ip::udp::endpoint(loopback, options.siblingsPort));
    }
    // The gateway must not inherit the port.
    ::fcntl(holder ? holder->native_handle() : datagrams->native_handle(), F_SETFD, FD_CLOEXEC);
    auto &gateway = fixture.spawnGateway(fixture.writeSettings(options));
    CHECK(gateway.awaitLine("port_unavailable").find("in use") != std::string::npos);
    CHECK(!gateway.hasEnded());
    holder.reset();
    datagrams.reset();
    CHECK_NOTHROW(fixture.awaitPorts(gateway));
    CHECK(fixture.readiness() == 503);
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a gateway takes over the ports of one that still drains")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    fixture.configure(1);
    auto options = numbered(1);
    options.callersPort = GatewayFixture::freePort();
    options.readinessPort = GatewayFixture::freePort();
    options.siblingsPort = GatewayFixture::freePort();
    auto &before = fixture.startGateway(options);
    before.signal(SIGTERM);
    fixture.startGateway(options);
    CHECK(fixture.send(GatewayFixture::request("/calls/a", "id-1")).status == 200);
    CHECK(before.wait() == 0);
}

TEST_CASE("a gateway that waits for a port ends on SIGTERM")
{
    GatewayFixture fixture;
    auto options = numbered(1);
    options.callersPort = GatewayFixture::freePort();
    asio::io_context context;
    const asio::ip::tcp::acceptor holder(
        context, Http::Endpoint(asio::ip::address_v4::loopback(), options.callersPort));
    auto &gateway = fixture.spawnGateway(fixture.writeSettings(options));
    gateway.awaitLine("port_unavailable");
    gateway.signal(SIGHUP);
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a settings file that is being rewritten at the start is read again")
{
    GatewayFixture fixture;
    const auto path = fixture.writeSettings(numbered(1));
    const auto whole = readFile(path);
    SECTION("missing")
    {
        std::filesystem::remove(path);
    }
    SECTION("empty")
    {
        writeFile(path, "");
    }
    SECTION("half")
    {
        writeFile(path, whole.substr(0, whole.size() / 2));
    }
    SECTION("in the middle of a value")
    {
        writeFile(path, whole.substr(0, whole.size() - 4));
    }
    auto &gateway = fixture.spawnGateway(path);
    CHECK_NOTHROW(gateway.awaitLine("settings_awaited"));
    writeFile(path, whole);
    CHECK_NOTHROW(fixture.awaitPorts(gateway));
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a gateway that waits for its settings ends on SIGTERM")
{
    GatewayFixture fixture;
    const auto path = fixture.writeSettings(numbered(1));
    writeFile(path, "");
    auto &gateway = fixture.spawnGateway(path);
    gateway.awaitLine("settings_awaited");
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a settings file that stays wrong ends the start with code 2")
{
    GatewayFixture fixture;
    auto &gateway =
        fixture.spawnGateway(fixture.writeSettings(numbered(1), "PortRange = \"none\"\n"));
    gateway.awaitLine("settings_invalid");
    CHECK(gateway.wait() == 2);
}

TEST_CASE("a settings file that is being rewritten at a reload leaves the old settings in force")
{
    GatewayFixture fixture;
    const auto path = fixture.writeSettings(numbered(1));
    const auto whole = readFile(path);
    auto &gateway = fixture.startGateway(numbered(1), false);
    SECTION("missing")
    {
        std::filesystem::remove(path);
    }
    SECTION("empty")
    {
        writeFile(path, "");
    }
    SECTION("half")
    {
        writeFile(path, whole.substr(0, whole.size() / 2));
    }
    gateway.signal(SIGHUP);
    gateway.awaitLine("settings_invalid");
    CHECK(fixture.readiness() == 503);
    writeFile(path, whole);
    gateway.awaitLine("settings_reloaded");
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a gateway without free descriptors keeps running, and serves when they are free again")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    fixture.configure(1);
    auto &gateway = fixture.spawnGateway(fixture.writeSettings(numbered(1)), "ulimit -n 40");
    fixture.awaitPorts(gateway);
    REQUIRE(GatewayFixture::eventually([&] { return fixture.readiness() == 200; }));
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> connections;
    for (int n = 0; n < 80; ++n) {
        connections.emplace_back(context);
        connections.back().connect(fixture.callers());
    }
    const auto begun = gateway.processorTime();
    std::this_thread::sleep_for(3s);
    CHECK(gateway.processorTime() - begun < 1'500ms);
    CHECK(!gateway.hasEnded());
    connections.clear();
    const auto isServed = [&] {
        try {
            return fixture.send(GatewayFixture::request("/views/a", "id-1", "GET")).status == 200;
        } catch (const Core::Error &) {
            return false;
        }
    };
    CHECK(GatewayFixture::eventually(isServed));
    gateway.signal(SIGTERM);
    CHECK(gateway.wait() == 0);
}

TEST_CASE("a gateway ends only as asked, whenever signals and rewritten settings arrive after the "
          "handlers are registered")
{
    constexpr unsigned Seed = 32;
    constexpr int Rounds = 6;
    constexpr int Gateways = 8;
    std::mt19937 random(Seed);
    const auto upTo = [&random](int limit) {
        return std::uniform_int_distribution<int>(0, limit)(random);
    };
    GatewayFixture fixture;
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::pair<Processes::Process *, int>> gateways;
        for (int n = 0; n < Gateways; ++n) {
            const auto path = fixture.writeSettings(numbered(n));
            const auto whole = readFile(path);
            auto &gateway = fixture.spawnGateway(path);
            REQUIRE(GatewayFixture::eventually([&] { return gateway.handles(SIGHUP); }));
            for (int step = upTo(3); step > 0; --step) {
                std::this_thread::sleep_for(std::chrono::milliseconds(upTo(60)));
                gateway.signal(SIGHUP);
                writeFile(path, whole.substr(0, static_cast<std::size_t>(
                                                    upTo(static_cast<int>(whole.size())))));
                std::this_thread::sleep_for(std::chrono::milliseconds(upTo(20)));
                writeFile(path, whole);
            }
            CHECK(!gateway.hasEnded());
            const bool isKilled = upTo(9) == 0;
            gateways.emplace_back(&gateway, isKilled ? -1 : 0);
            gateway.signal(isKilled ? SIGKILL : SIGTERM);
            gateway.signal(upTo(1) == 0 ? SIGHUP : SIGTERM);
        }
        for (const auto &[gateway, code] : gateways)
            CHECK(gateway->wait() == code);
    }
}
