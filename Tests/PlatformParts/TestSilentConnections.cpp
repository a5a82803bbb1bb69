#include "../StandIns/SilentServer.h"

#include <LibCore/IoThreads.h>
#include <LibGateway/SharedLog.h>

#include <PlatformEngines.h>
#include <PlatformLog.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

#include <cstring>
#include <future>
#include <string>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;
using StandIns::SilentServer;

namespace {

/// The body of a read that returns no records of a log with the given end.
std::string emptyPage(std::uint64_t end)
{
    std::string bytes(2 * sizeof(end), '\0');
    const auto big = boost::endian::native_to_big(end);
    std::memcpy(bytes.data(), &big, sizeof(big));
    return bytes;
}

} // namespace

TEST_CASE("store connections that went silent delay the configuration by one read only")
{
    SilentServer store(emptyPage(1));
    Core::IoThreads threads {1};
    const Core::SystemClock clock;
    Gateway::GatewaySettings settings;
    Gateway::FleetMembers members({Core::InstanceId("n0"), "north", {}}, clock);
    Gateway::LogRelay relay(clock);
    Site::PlatformLog platform(store.server.endpoint());
    Gateway::SharedLog log({platform, relay, members, clock, settings});
    const auto read = [&](FleetTopic topic, std::chrono::milliseconds wait) {
        return asio::co_spawn(threads.at(0), log.read(topic, 1, wait), asio::use_future);
    };
    std::vector<std::future<Gateway::FleetPage>> reads;
    for (const auto topic : {FleetTopic::Operator, FleetTopic::Upstreams, FleetTopic::Journal})
        reads.push_back(read(topic, 0ms));
    for (auto &it : reads)
        it.get();
    REQUIRE(store.server.openConnections() == 3);
    store.isSilent = true;
    auto answer = read(FleetTopic::Operator, 1s);
    CHECK(answer.wait_for(settings.configurationBound) == std::future_status::ready);
    threads.stop();
}

TEST_CASE("sibling connections that went silent delay one query only")
{
    Core::IoThreads threads {1};
    const Core::SystemClock clock;
    Gateway::FleetPage page;
    page.next = 1;
    page.asOf = clock.now();
    SilentServer sibling(Gateway::LogRelay::encode(page, clock.now(), 0ms));
    Gateway::LogRelay relay(clock);
    const auto query = [&](FleetTopic topic) {
        return asio::co_spawn(threads.at(0), relay.query(sibling.server.endpoint(), topic, 1, 0ms),
                              asio::use_future);
    };
    std::vector<std::future<Gateway::FleetPage>> queries;
    for (const auto topic : {FleetTopic::Operator, FleetTopic::Upstreams, FleetTopic::Journal})
        queries.push_back(query(topic));
    for (auto &it : queries)
        it.get();
    REQUIRE(sibling.server.openConnections() == 3);
    sibling.isSilent = true;
    CHECK_THROWS_AS(query(FleetTopic::Operator).get(), Core::Error);
    CHECK(query(FleetTopic::Operator).get().next == 1);
    threads.stop();
}

TEST_CASE("engine connections that went silent delay one report only")
{
    SilentServer server(R"({"Seq":1,"Models":[]})");
    Core::IoThreads threads {1};
    Site::PlatformEngines engines;
    Gateway::UpstreamReport engine;
    engine.id = Core::UpstreamId("e");
    engine.endpoint = server.server.endpoint();
    const auto report = [&] {
        return asio::co_spawn(threads.at(0), engines.state(engine), asio::use_future);
    };
    std::vector<std::future<Gateway::EngineState>> reports(3);
    for (auto &it : reports)
        it = report();
    for (auto &it : reports)
        it.get();
    REQUIRE(server.server.openConnections() == 3);
    server.isSilent = true;
    CHECK_THROWS_AS(report().get(), Core::Error);
    CHECK(report().get().ordersAccepted == 1);
    threads.stop();
}
