#include "GatewayFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::GatewayOptions;
using StandIns::WorkerStandIn;

namespace {

constexpr double Ratio = 0.2;
constexpr double Slack = 52;
constexpr int RequestsPerStart = 60;
constexpr auto Window = 10s;

asio::awaitable<bool> fail(Http::ServerExchange &exchange)
{
    Http::Response response(500, WorkerStandIn::answerHeaders(exchange.request()), "failed");
    co_await exchange.respond(std::move(response));
    co_return true;
}

void sendViews(const GatewayFixture &fixture, int &sent, int count = RequestsPerStart)
{
    for (int n = 0; n < count; ++n, ++sent)
        fixture.send(GatewayFixture::request("/views/a", "id-" + std::to_string(sent), "GET"));
}

/// Returns the default routes with the text of the views' route replaced.
std::string viewsWith(const std::string &before, const std::string &after)
{
    auto routes = GatewayFixture::defaultRoutes();
    const auto begin = routes.find(before, routes.find(R"("views")"));
    return routes.replace(begin, before.size(), after);
}

} // namespace

TEST_CASE("instances that are killed or stopped do not get their slack of the retry budget again")
{
    GatewayFixture fixture;
    auto &first = fixture.addWorker("w-1", "app");
    auto &second = fixture.addWorker("w-2", "app");
    first.setBehaviour(fail);
    second.setBehaviour(fail);
    fixture.configure(1);
    int sent = 0;
    GatewayOptions options;
    options.graceS = 1;
    for (const int signal : {SIGKILL, SIGTERM, SIGKILL}) {
        auto &gateway = fixture.startGateway(options);
        sendViews(fixture, sent);
        gateway.signal(signal);
        gateway.wait();
    }
    const auto arrivals = first.requests().size() + second.requests().size();
    const auto repeats = arrivals - static_cast<std::size_t>(sent);
    CHECK(repeats > 0);
    CHECK(static_cast<double>(repeats) <= Ratio * sent + Slack);
}

TEST_CASE("an instance that waits for the ports of the process before it gets no slack by waiting")
{
    GatewayFixture fixture;
    auto &first = fixture.addWorker("w-1", "app");
    auto &second = fixture.addWorker("w-2", "app");
    first.setBehaviour(fail);
    second.setBehaviour(fail);
    fixture.configure(1);
    GatewayOptions options;
    options.callersPort = GatewayFixture::freePort();
    options.readinessPort = GatewayFixture::freePort();
    auto &before = fixture.startGateway(options);
    before.signal(SIGTERM);
    auto &after = fixture.spawnGateway(fixture.writeSettings(options));
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(1s);
    int sent = 0;
    sendViews(fixture, sent);
    before.wait();
    fixture.awaitPorts(after);
    REQUIRE(GatewayFixture::eventually([&] { return fixture.readiness() == 200; }));
    std::this_thread::sleep_until(start + Window + 300ms);
    sendViews(fixture, sent);
    const auto arrivals = first.requests().size() + second.requests().size();
    const auto repeats = arrivals - static_cast<std::size_t>(sent);
    CHECK(repeats > 0);
    CHECK(static_cast<double>(repeats) <= Ratio * sent + Slack);
}

TEST_CASE("instances that start one after another, and are killed meanwhile, share the slack")
{
    constexpr unsigned Seed = 1;
    constexpr std::size_t Instances = 8;
    // Few requests, so that the slack is the greater part of the budget.
    constexpr int Requests = 25;
    GatewayFixture fixture;
    auto &first = fixture.addWorker("w-1", "app");
    auto &second = fixture.addWorker("w-2", "app");
    first.setBehaviour(fail);
    second.setBehaviour(fail);
    fixture.configure(1);
    std::mt19937 random(Seed);
    std::vector<Processes::Process *> gateways;
    int sent = 0;
    const auto start = [&](std::size_t index) {
        GatewayOptions options;
        options.name = "edge-" + std::to_string(index);
        auto &gateway = fixture.startGateway(options);
        sendViews(fixture, sent, Requests);
        return &gateway;
    };
    for (std::size_t n = 0; n < Instances; ++n) {
        gateways.push_back(start(n));
        const auto killed = random() % gateways.size();
        if (killed == n)
            continue;
        gateways[killed]->signal(SIGKILL);
        gateways[killed]->wait();
        gateways[killed] = start(killed);
    }
    const auto arrivals = first.requests().size() + second.requests().size();
    const auto repeats = arrivals - static_cast<std::size_t>(sent);
    CHECK(repeats > 0);
    CHECK(static_cast<double>(repeats) <= Ratio * sent + Slack);
}

TEST_CASE("a request that has run is not sent again if its new route does not allow it")
{
    const auto change =
        GENERATE(std::pair<std::string, std::string> {R"("MaxAttempts":2)", R"("MaxAttempts":1)"},
                 std::pair<std::string, std::string> {R"("idempotent")", R"("non_idempotent")"});
    GatewayFixture fixture;
    auto &first = fixture.addWorker("w-1", "app");
    auto &second = fixture.addWorker("w-2", "app");
    fixture.configure(1);
    fixture.startGateway();
    // The ratio of the budget allows a retry afterwards.
    constexpr int WarmUp = 40;
    int sent = 0;
    sendViews(fixture, sent, WarmUp);
    const auto changeRoutes = [&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        fixture.configure(2, viewsWith(change.first, change.second));
        asio::steady_timer timer(co_await asio::this_coro::executor, 500ms);
        co_await timer.async_wait(asio::use_awaitable);
        co_return co_await fail(exchange);
    };
    first.setBehaviour(changeRoutes);
    second.setBehaviour(changeRoutes);
    fixture.send(GatewayFixture::request("/views/a", "changed", "GET"));
    CHECK(first.requests().size() + second.requests().size() == WarmUp + 1);
}

TEST_CASE("retries of requests whose route moves to another service count at that service")
{
    constexpr int WarmUp = 480;
    constexpr int Moved = 70;
    GatewayFixture fixture;
    auto &before = fixture.addWorker("w-1", "app");
    auto &other = fixture.addWorker("w-2", "app");
    auto &after = fixture.addWorker("w-3", "llm");
    fixture.configure(1);
    fixture.startGateway();
    int sent = 0;
    // The ratio allows retries at the service before.
    sendViews(fixture, sent, WarmUp);
    std::atomic<bool> isMoved = false;
    const auto failWhenMoved = [&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (!isMoved) {
            timer.expires_after(10ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return co_await fail(exchange);
    };
    before.setBehaviour(failWhenMoved);
    other.setBehaviour(failWhenMoved);
    std::vector<std::future<Http::Response>> answers;
    answers.reserve(Moved);
    for (int n = 0; n < Moved; ++n)
        answers.push_back(std::async(std::launch::async, [&fixture, n] {
            return fixture.send(
                GatewayFixture::request("/views/a", "moved-" + std::to_string(n), "GET"));
        }));
    std::this_thread::sleep_for(500ms);
    fixture.configure(2, viewsWith(R"("Service":"app")", R"("Service":"llm")"));
    std::this_thread::sleep_for(500ms);
    isMoved = true;
    for (auto &answer : answers)
        answer.get();
    CHECK(static_cast<double>(after.requests().size()) <= Slack);
}
