#include "GatewayFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <string>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

constexpr auto Topic = "keyed.servers";

Http::Request nextRequest()
{
    static int count = 0;
    return GatewayFixture::request("/calls/a", "id-" + std::to_string(++count));
}

/// Sends requests one after the other until the time has passed; returns how many were served.
int sendFor(const GatewayFixture &fixture, std::chrono::milliseconds time)
{
    int served = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        served += fixture.send(nextRequest()).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    return served;
}

/// Answers with a status and headers, in addition to the usual ones.
WorkerStandIn::Behaviour answerWith(unsigned status, const Http::Headers &extra,
                                    std::chrono::milliseconds delay = 0ms)
{
    return [=](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::use_awaitable);
        auto headers = WorkerStandIn::answerHeaders(exchange.request());
        for (const auto &field : extra)
            headers.add(field.name, field.value);
        Http::Response response(status, std::move(headers), "");
        co_await exchange.respond(std::move(response));
        co_return true;
    };
}

Http::Headers leaving()
{
    Http::Headers headers;
    headers.add("Server-Leaving", "1");
    return headers;
}

Http::Headers refusing()
{
    Http::Headers headers;
    headers.add("X-Jujubesaddle-Not-Executed", "1");
    headers.add("Retry-After", "30");
    return headers;
}

Http::Headers misdirected(const std::string &instance)
{
    auto headers = leaving();
    headers.add("X-Jujubesaddle-Not-Executed", "1");
    headers.add("X-Jujubesaddle-Instance-Id", instance);
    return headers;
}

} // namespace

TEST_CASE("a late answer of an earlier incarnation does not take its successor out of use")
{
    const bool isLeaving = GENERATE(true, false);
    CAPTURE(isLeaving);
    GatewayFixture fixture;
    auto &worker = fixture.addWorker("w-1", "app");
    fixture.configure(1);
    auto &gateway = fixture.startGateway();
    worker.setBehaviour(answerWith(isLeaving ? 200 : 503, isLeaving ? leaving() : refusing(), 2s));
    auto late = std::async(std::launch::async, [&] { return fixture.send(nextRequest()); });
    REQUIRE(GatewayFixture::eventually([&] { return worker.requests().size() == 1; }));
    worker.setBehaviour({});
    fixture.restartWorker(worker);
    gateway.awaitLine("upstream_restarted");
    CHECK(fixture.send(nextRequest()).status == 200);
    late.get();
    for (int n = 0; n < 5; ++n)
        CHECK(fixture.send(nextRequest()).status == 200);
}

TEST_CASE("a notice in a 421 is heeded if the upstream that was meant gave it, and no other one")
{
    const bool isOwn = GENERATE(true, false);
    CAPTURE(isOwn);
    GatewayFixture fixture;
    auto &worker = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    fixture.startGateway();
    worker.setBehaviour(answerWith(421, misdirected(isOwn ? "w-1" : "w-9")));
    sendFor(fixture, 500ms);
    worker.setBehaviour({});
    const auto before = worker.requests().size();
    CHECK(before >= 1);
    // Longer than the pause of an address that another instance uses.
    sendFor(fixture, 4s);
    CHECK((worker.requests().size() > before) == !isOwn);
}

TEST_CASE("a notice holds when the entry of its upstream is removed and comes back")
{
    const bool isLeaving = GENERATE(true, false);
    CAPTURE(isLeaving);
    GatewayFixture fixture;
    auto &worker = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    auto &gateway = fixture.startGateway();
    worker.setBehaviour(answerWith(isLeaving ? 200 : 503, isLeaving ? leaving() : refusing()));
    sendFor(fixture, 500ms);
    REQUIRE(worker.requests().size() == 1);
    worker.setBehaviour({});
    fixture.store.put(Topic, "w-1", std::nullopt);
    gateway.awaitLine(R"("reason":"not listed")");
    fixture.store.put(Topic, "w-1", worker.entry("ready", 2));
    gateway.awaitLine(R"("name":"upstream_added","upstream":"w-1")");
    CHECK(sendFor(fixture, 1s) > 0);
    CHECK(worker.requests().size() == 1);
    fixture.restartWorker(worker);
    CHECK(GatewayFixture::eventually([&] {
        sendFor(fixture, 100ms);
        return worker.requests().size() > 1;
    }));
}
