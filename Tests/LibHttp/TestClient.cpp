#include "../StandIns/RawServer.h"
#include "../StandIns/ReceivedAnswer.h"

#include <LibCore/IoThreads.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using StandIns::RawConnection;
using StandIns::RawServer;
using StandIns::ReceivedAnswer;

namespace {

constexpr auto CloseTimeout = 10s;
// None of these fields gives the body a length.
constexpr auto Head = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\n\r\n";

/// A server that answers each target with its script, and one client.
struct Fixture
{
    Core::IoThreads threads {1};
    Http::Client client;
    std::map<std::string, std::function<void(RawConnection &)>> scripts;
    RawServer server {[this](RawConnection &connection, const Http::Request &request) {
        scripts.at(request.target)(connection);
    }};

    ~Fixture() { threads.stop(); }

    ReceivedAnswer fetch(const std::string &target)
    {
        return asio::co_spawn(threads.next(),
                              StandIns::receiveAnswer(client, server.endpoint(), {"GET", target}),
                              asio::use_future)
            .get();
    }
};

} // namespace

TEST_CASE("an answer without a length ends when its connection is closed in order")
{
    Fixture fixture;
    const std::string large(300'000, 'x');
    fixture.scripts["/whole"] = [](RawConnection &it) { it.send(Head + std::string("whole")); };
    fixture.scripts["/empty"] = [](RawConnection &it) { it.send(Head); };
    fixture.scripts["/large"] = [&](RawConnection &it) { it.send(Head + large); };
    fixture.scripts["/slow"] = [](RawConnection &it) {
        it.sendSlowly(Head + std::string("byte by byte"));
    };
    const std::map<std::string, std::string> bodies {
        {"/whole", "whole"}, {"/empty", ""}, {"/large", large}, {"/slow", "byte by byte"}};
    for (const auto &[target, body] : bodies) {
        const auto answer = fixture.fetch(target);
        INFO(target);
        CHECK(!answer.failure);
        CHECK(answer.response.body == body);
    }
}

TEST_CASE("an answer without a length whose connection is reset is not taken as complete")
{
    Fixture fixture;
    fixture.scripts["/head"] = [](RawConnection &it) {
        it.send(Head);
        it.reset();
    };
    fixture.scripts["/body"] = [](RawConnection &it) {
        it.send(Head + std::string("part"));
        it.reset();
    };
    fixture.scripts["/slow"] = [](RawConnection &it) {
        it.sendSlowly(Head + std::string("part"));
        it.reset();
    };
    fixture.scripts["/large"] = [](RawConnection &it) {
        it.send(Head + std::string(300'000, 'x'));
        it.reset();
    };
    for (const auto &[target, script] : fixture.scripts) {
        const auto answer = fixture.fetch(target);
        INFO(target);
        REQUIRE(answer.failure);
        CHECK(answer.failure->kind() == Core::ErrorKind::UpstreamFailed);
    }
}

TEST_CASE("a connection is closed, and not used again, after an answer without a length")
{
    Fixture fixture;
    fixture.scripts["/"] = [](RawConnection &it) { it.send(Head + std::string("whole")); };
    constexpr int Count = 5;
    for (int n = 0; n < Count; ++n)
        CHECK(fixture.fetch("/").response.body == "whole");
    CHECK(fixture.server.requests().size() == Count);
    const auto end = std::chrono::steady_clock::now() + CloseTimeout;
    while (fixture.server.openConnections() > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(1ms);
    CHECK(fixture.server.openConnections() == 0);
    CHECK(fixture.server.bytesAfterEnd() == 0);
}
