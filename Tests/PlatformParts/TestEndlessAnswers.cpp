#include "../StandIns/RawServer.h"

#include <LibCore/IoThreads.h>
#include <LibGateway/LogRelay.h>

#include <PlatformEngines.h>
#include <PlatformLog.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <exception>
#include <string>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;

namespace {

constexpr std::size_t PieceBytes = 64 * 1024;
constexpr std::size_t PouredBytes = std::size_t {48} * 1024 * 1024;
// Several calls are under way at the same time, on machines with 110 MB.
constexpr std::size_t MaxAcceptedBytes = std::size_t {16} * 1024 * 1024;

/// Answers every call with a body that only ends when the client closes the connection.
struct EndlessServer
{
    explicit EndlessServer(std::string framing)
        : server([this, framing = std::move(framing)](auto &connection, const auto &) {
            const bool isChunked = framing.find("chunked") != std::string::npos;
            const std::string piece(PieceBytes, '0');
            connection.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
            while (!connection.isClosed() && sent < PouredBytes) {
                connection.send(isChunked ? "10000\r\n" + piece + "\r\n" : piece);
                sent += connection.isClosed() ? 0 : PieceBytes;
            }
        })
    { }

    std::atomic<std::size_t> sent {0};
    StandIns::RawServer server;
};

} // namespace

TEST_CASE("answers without an end to the gateway's own calls are cut well below its memory")
{
    const std::string framing = GENERATE(as<std::string>(), "Content-Length: 1000000000\r\n",
                                         "Transfer-Encoding: chunked\r\n", "");
    const std::string call =
        GENERATE(as<std::string>(), "report", "order", "events", "read", "newest", "sibling");
    CAPTURE(framing, call);
    EndlessServer endless(framing);
    Core::IoThreads threads {1};
    const Core::SystemClock clock;
    Site::PlatformEngines engines;
    Site::PlatformLog log(endless.server.endpoint());
    Gateway::LogRelay relay(clock);
    Gateway::UpstreamReport engine;
    engine.id = Core::UpstreamId("w-1");
    engine.endpoint = endless.server.endpoint();
    std::uint64_t position = 0;
    const auto run = [&threads](auto awaitable) {
        CHECK_THROWS_AS(asio::co_spawn(threads.at(0), std::move(awaitable), asio::use_future).get(),
                        Core::Error);
    };
    if (call == "report")
        run(engines.state(engine));
    else if (call == "order")
        run(engines.order(engine, {}, [] { return true; }));
    else if (call == "events")
        run(engines.storeEpoch(engine.endpoint, position));
    else if (call == "read")
        run(log.read(FleetTopic::Operator, 0, 0ms));
    else if (call == "newest")
        run(log.newest(FleetTopic::Operator));
    else
        run(relay.query(engine.endpoint, FleetTopic::Operator, 0, 0ms));
    threads.stop();
    CHECK(endless.sent <= MaxAcceptedBytes);
}

TEST_CASE("answers that trickle without an end hold none of the gateway's own calls")
{
    // More than the longest of these calls may take.
    constexpr auto Limit = 4s;
    const std::string begin = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nX-Filler: ",
                                       "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    CAPTURE(begin);
    std::atomic<bool> isOver {false};
    StandIns::RawServer server([&](auto &connection, const auto &) {
        connection.send(begin);
        while (!connection.isClosed() && !isOver) {
            connection.send("0");
            std::this_thread::sleep_for(20ms);
        }
    });
    Core::IoThreads threads {1};
    const Core::SystemClock clock;
    Site::PlatformEngines engines;
    Site::PlatformLog log(server.endpoint());
    Gateway::LogRelay relay(clock);
    Gateway::UpstreamReport engine;
    engine.id = Core::UpstreamId("w-1");
    engine.endpoint = server.endpoint();
    const Gateway::WeightsOrder order;
    std::uint64_t position = 0;
    std::atomic<int> failed {0};
    const auto start = [&](auto call) {
        asio::co_spawn(threads.at(0), std::move(call),
                       [&failed](const std::exception_ptr &failure, const auto &...) {
                           failed += failure ? 1 : 0;
                       });
    };
    start(engines.state(engine));
    start(engines.order(engine, order, [] { return true; }));
    start(engines.storeEpoch(engine.endpoint, position));
    start(log.read(FleetTopic::Operator, 0, 0ms));
    start(log.newest(FleetTopic::Operator));
    start(relay.query(engine.endpoint, FleetTopic::Operator, 0, 0ms));
    constexpr int Calls = 6;
    for (const auto end = std::chrono::steady_clock::now() + Limit;
         failed < Calls && std::chrono::steady_clock::now() < end;)
        std::this_thread::sleep_for(10ms);
    CHECK(failed == Calls);
    isOver = true;
    threads.stop();
}
