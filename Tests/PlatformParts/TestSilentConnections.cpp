#include "../StandIns/RawServer.h"

#include <LibCore/IoThreads.h>
#include <LibGateway/SharedLog.h>

#include <PlatformLog.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <cstring>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;

namespace {

/// The body of a read that returns no records of a log with the given end.
std::string emptyPage(std::uint64_t end)
{
    std::string bytes(2 * sizeof(end), '\0');
    const auto big = boost::endian::native_to_big(end);
    std::memcpy(bytes.data(), &big, sizeof(big));
    return bytes;
}

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server whose connections stop answering, all but those that are opened later.
struct SilentServer
{
    explicit SilentServer(std::string body)
        : answer(answerWith(body))
    { }

    std::string answer;
    std::atomic<bool> isSilent {false};
    StandIns::RawServer server {[this](auto &connection, const auto &) {
        connection.keep();
        if (connection.served() > 0 && isSilent)
            return;
        // Calls that overlap need a connection each.
        std::this_thread::sleep_for(50ms);
        connection.send(answer);
    }};
};

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
