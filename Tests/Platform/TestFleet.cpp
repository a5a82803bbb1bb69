#include "GatewayFixture.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <map>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

std::string header(const Http::Request &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(std::string_view()));
}

/// Lets the first request of all workers wait, as in the queue of an engine, until its caller
/// leaves.
class QueuedRequest
{
public:
    WorkerStandIn::Behaviour behaviour(const std::string &worker)
    {
        return [this, worker](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
            if (!m_isFirst.exchange(false))
                co_return false;
            asio::steady_timer timer(co_await asio::this_coro::executor, 10s);
            exchange.setCallerGoneHook([&] {
                m_withdrawn.set_value(std::chrono::steady_clock::now());
                timer.cancel();
            });
            m_worker.set_value(worker);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            co_return true;
        };
    }
    /// Waits for the request and returns the worker that received it.
    std::string worker() { return m_worker.get_future().get(); }
    /// Waits until the request is withdrawn. Returns the time, or nothing after a timeout.
    std::optional<std::chrono::steady_clock::time_point> withdrawn()
    {
        auto time = m_withdrawn.get_future();
        if (time.wait_for(6s) != std::future_status::ready)
            return std::nullopt;
        return time.get();
    }

private:
    std::atomic<bool> m_isFirst {true};
    std::promise<std::string> m_worker;
    std::promise<std::chrono::steady_clock::time_point> m_withdrawn;
};

} // namespace

TEST_CASE("no requests are sent to a worker that drains, is not listed or has an unreadable entry")
{
    GatewayFixture fixture;
    auto &draining = fixture.addWorker("w-1", "app");
    auto &removed = fixture.addWorker("w-2", "app");
    auto &staying = fixture.addWorker("w-3", "app");
    fixture.configure(1);
    fixture.startGateway();
    fixture.store.put("keyed.servers", "w-1", draining.entry("draining"));
    fixture.store.put("keyed.servers", "w-2", std::nullopt);
    // Invalid entries do not replace the last valid ones.
    fixture.store.put("keyed.servers", "w-3", R"({"Service":7,"State":"ready"})");
    fixture.store.put("keyed.servers", "w-4", "\x01\x02");
    std::this_thread::sleep_for(1s);
    const auto before = draining.requests().size() + removed.requests().size();
    for (int n = 0; n < 10; ++n)
        CHECK(fixture.send(GatewayFixture::request("/calls/a", "id-" + std::to_string(n))).status
              == 200);
    CHECK(staying.requests().size() >= 10);
    CHECK(draining.requests().size() + removed.requests().size() == before);
}

TEST_CASE("new weights are ordered once from each engine under one token, and requests expect them")
{
    GatewayFixture fixture;
    auto &first = fixture.addWorker("w-1", "llm");
    auto &second = fixture.addWorker("w-2", "llm");
    fixture.configure(1);
    fixture.startGateway({"edge-1", 5'000, 8});
    fixture.startGateway({"edge-2", 5'000, 8});
    fixture.store.put("keyed.op", "version/model", R"({"Model":"model","Version":2})");
    CHECK(
        GatewayFixture::eventually([&] { return first.weights() == 2 && second.weights() == 2; }));
    REQUIRE(first.orders().size() == 1);
    REQUIRE(second.orders().size() == 1);
    const auto one = boost::json::parse(first.orders().front()).as_object();
    const auto other = boost::json::parse(second.orders().front()).as_object();
    CHECK(one.at("Holder") == other.at("Holder"));
    CHECK(one.at("Fence") == other.at("Fence"));
    CHECK(one.at("Mode") == "queue");
    CHECK(GatewayFixture::eventually([&] {
        fixture.send(GatewayFixture::streamRequest("/streams/a", "id"));
        // An instance may refuse requests until it knows the new weights.
        const auto seen = first.requests().empty() ? second.requests() : first.requests();
        return !seen.empty() && header(seen.back(), "X-Jujubesaddle-Expect-Version") == "2";
    }));
}

TEST_CASE(
    "an instance restores the prefix-cache estimates at its start when no other instance runs")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "llm");
    fixture.addWorker("w-2", "llm");
    fixture.configure(1);
    auto &first = fixture.startGateway();
    CHECK(fixture.send(GatewayFixture::streamRequest("/streams/a", "id-1")).status == 200);
    CHECK(GatewayFixture::eventually([&] { return fixture.store.count("keyed.beliefs") > 0; }));
    first.kill();
    auto &second = fixture.startGateway({"edge-2", 5'000, 8});
    // The two parts of the request, at the engine that processed them.
    CHECK(second.awaitLine("snapshot_taken").find("\"parts\":\"2\"") != std::string::npos);
    CHECK(fixture.send(GatewayFixture::streamRequest("/streams/a", "id-2")).status == 200);
    const auto served = second.awaitLine("request_served");
    CHECK(served.find("\"kept_tokens\":\"1000\"") != std::string::npos);
}

TEST_CASE("a prompt that waits at an engine does not begin there after its weights are too old")
{
    constexpr auto Bound = 2'000ms;
    GatewayFixture fixture;
    QueuedRequest queued;
    std::map<std::string, WorkerStandIn *> workers;
    for (const std::string id : {"w-1", "w-2"}) {
        workers[id] = &fixture.addWorker(id, "llm");
        workers[id]->setBehaviour(queued.behaviour(id));
    }
    fixture.configure(1);
    PlatformTests::GatewayOptions options;
    options.versionMs = Bound.count();
    fixture.startGateway(options);
    auto answer = std::async(std::launch::async, [&] {
        return fixture.send(GatewayFixture::streamRequest("/streams/a", "id-1"));
    });
    // The engine at which the prompt waits does not carry out its order in time.
    workers.at(queued.worker())->setOrderTime(10s);
    fixture.store.put("keyed.op", "version/model", R"({"Model":"model","Version":2})");
    const auto named = std::chrono::steady_clock::now();
    const auto withdrawn = queued.withdrawn();
    REQUIRE(withdrawn.has_value());
    CHECK(*withdrawn - named < Bound);
    CHECK(answer.get().status == 200);
}

TEST_CASE("requests of isolated tenants and of other weights share no cached parts")
{
    GatewayFixture fixture;
    auto &engine = fixture.addWorker("w-1", "llm");
    fixture.configure(1);
    fixture.startGateway();
    const auto salt = [&](const std::string &key) {
        auto request = GatewayFixture::streamRequest("/streams/a", "id-" + key);
        request.headers.remove("Authorization");
        request.headers.add("Authorization", "Bearer " + key);
        request.headers.add("X-Jujubesaddle-Cache-Salt", "of the caller");
        // The engine serves nothing while it loads other weights, and the answer is 503.
        fixture.send(std::move(request));
        return header(engine.requests().back(), "X-Jujubesaddle-Cache-Salt");
    };
    const auto shared = salt("key-1");
    CHECK(salt("key-2") == shared);
    const auto isolated = salt("key-3");
    CHECK(isolated != shared);
    CHECK(shared != "of the caller");
    fixture.store.put("keyed.op", "version/model", R"({"Model":"model","Version":2})");
    CHECK(GatewayFixture::eventually([&] { return engine.weights() == 2; }));
    CHECK(GatewayFixture::eventually([&] {
        const auto now = salt("key-1");
        return now != shared && now != isolated;
    }));
}

TEST_CASE("configuration and upstreams are followed after lost history and an outage of the store")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    fixture.configure(1);
    fixture.startGateway();
    fixture.store.setRefusal(503);
    std::this_thread::sleep_for(500ms);
    fixture.configure(2, "[]");
    fixture.store.dropHistory("keyed.op");
    fixture.store.dropHistory("keyed.servers");
    fixture.store.setRefusal(0);
    CHECK(GatewayFixture::eventually(
        [&] { return fixture.send(GatewayFixture::request("/calls/a", "id")).status == 404; }));
}
