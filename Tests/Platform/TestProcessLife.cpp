#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

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
