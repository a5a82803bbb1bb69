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

/// A store whose connections stop answering, all but those that are opened later.
struct SilentStore
{
    std::atomic<bool> isSilent {false};
    StandIns::RawServer server {[this](auto &connection, const auto &) {
        connection.keep();
        if (connection.served() > 0 && isSilent)
            return;
        // Calls that overlap need a connection each.
        std::this_thread::sleep_for(50ms);
        connection.send(answerWith(emptyPage(1)));
    }};
};

} // namespace

TEST_CASE("store connections that went silent delay the configuration by one read only")
{
    SilentStore store;
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
