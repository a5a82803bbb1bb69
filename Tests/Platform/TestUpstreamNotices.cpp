#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

/// Sends requests one after the other until the time has passed.
void sendFor(const GatewayFixture &fixture, std::chrono::milliseconds time)
{
    static int count = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        const auto id = "id-" + std::to_string(++count);
        CHECK(fixture.send(GatewayFixture::request("/calls/a", id)).status == 200);
    }
}

asio::awaitable<bool> answerAsLeaving(Http::ServerExchange &exchange)
{
    auto headers = WorkerStandIn::answerHeaders(exchange.request());
    headers.add("Server-Leaving", "1");
    Http::Response response(200, std::move(headers), "leaving");
    co_await exchange.respond(std::move(response));
    co_return true;
}

asio::awaitable<bool> refuseForTwoSeconds(Http::ServerExchange &exchange)
{
    auto headers = WorkerStandIn::answerHeaders(exchange.request());
    headers.add("X-Jujubesaddle-Not-Executed", "1");
    headers.add("Retry-After", "2");
    Http::Response response(503, std::move(headers), "");
    co_await exchange.respond(std::move(response));
    co_return true;
}

} // namespace

TEST_CASE(
    "an upstream whose answer says that it is leaving gets no more requests until it restarts")
{
    GatewayFixture fixture;
    auto &leaving = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    leaving.setBehaviour(answerAsLeaving);
    fixture.configure(1);
    fixture.startGateway();
    sendFor(fixture, 500ms);
    REQUIRE(leaving.requests().size() == 1);
    // The next report of the same incarnation still says that it is ready.
    fixture.store.put("keyed.servers", "w-1", leaving.entry());
    sendFor(fixture, 1s);
    CHECK(leaving.requests().size() == 1);
    leaving.setBehaviour({});
    fixture.restartWorker(leaving);
    CHECK(GatewayFixture::eventually([&] {
        sendFor(fixture, 100ms);
        return leaving.requests().size() > 1;
    }));
}

TEST_CASE("an upstream that refuses a request for a time gets no more requests until then")
{
    GatewayFixture fixture;
    auto &full = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    full.setBehaviour(refuseForTwoSeconds);
    fixture.configure(1);
    fixture.startGateway();
    sendFor(fixture, 1'500ms);
    CHECK(full.requests().size() == 1);
    full.setBehaviour({});
    std::this_thread::sleep_for(700ms);
    sendFor(fixture, 500ms);
    CHECK(full.requests().size() > 1);
}
