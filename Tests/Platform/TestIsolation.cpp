#include "GatewayFixture.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <set>
#include <string>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

std::string tenants(bool isIsolated)
{
    return std::string(R"([{"Name":"liit","ApiKeys":["key-1"],"Isolated":)")
           + (isIsolated ? "true" : "false")
           + R"(},{"Name":"kool","ApiKeys":["key-2"],"Isolated":false}])";
}

Http::Request prompt(const std::string &id, const std::string &key)
{
    auto request = GatewayFixture::streamRequest("/streams/a", id);
    request.headers.remove("Authorization");
    request.headers.add("Authorization", "Bearer " + key);
    return request;
}

std::string saltOf(const Http::Request &request)
{
    return std::string(
        request.headers.find("X-Jujubesaddle-Cache-Salt").value_or(std::string_view()));
}

} // namespace

TEST_CASE("others use the cached parts of a tenant that is isolated for the second time")
{
    GatewayFixture fixture;
    const auto &engine = fixture.addWorker("w-1", "llm");
    fixture.configure(1, GatewayFixture::defaultRoutes(), tenants(false));
    fixture.startGateway();
    int sent = 0;
    const auto salt = [&](const std::string &key) {
        fixture.send(prompt("id-" + std::to_string(++sent), key));
        return saltOf(engine.requests().back());
    };
    std::set<std::string> used;
    for (unsigned version = 1; version <= 6; ++version) {
        const bool isIsolated = version % 2 == 0;
        fixture.configure(version, GatewayFixture::defaultRoutes(), tenants(isIsolated));
        REQUIRE(GatewayFixture::eventually(
            [&] { return (salt("key-1") != salt("key-2")) == isIsolated; }));
        if (isIsolated)
            CHECK_FALSE(used.contains(salt("key-2")));
        used.insert(salt("key-1"));
    }
}

TEST_CASE("a stream that is resumed after its tenant became isolated uses the parts of others")
{
    GatewayFixture fixture;
    std::atomic<bool> mayBreak {false};
    std::atomic<int> begun {0};
    const auto breakOnce = [&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        if (begun++ > 0)
            co_return false;
        co_await exchange.startStream(200, WorkerStandIn::answerHeaders(exchange.request()));
        co_await exchange.write("id: 1\ndata: 1\n\n");
        while (!mayBreak) {
            asio::steady_timer timer(co_await asio::this_coro::executor, 10ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        throw boost::system::system_error(asio::error::connection_reset);
    };
    auto &first = fixture.addWorker("w-1", "llm");
    auto &second = fixture.addWorker("w-2", "llm");
    first.setBehaviour(breakOnce);
    second.setBehaviour(breakOnce);
    fixture.configure(1, GatewayFixture::defaultRoutes(), tenants(false));
    fixture.startGateway();
    auto answer =
        std::async(std::launch::async, [&] { return fixture.send(prompt("id-1", "key-1")).body; });
    REQUIRE(GatewayFixture::eventually([&] { return begun == 1; }));
    fixture.configure(2, GatewayFixture::defaultRoutes(), tenants(true));
    // The new version is in force when another tenant's scope has changed.
    const auto &begin = first.requests().empty() ? second : first;
    const auto before = saltOf(begin.requests().front());
    const auto requestsOf = [&] {
        auto all = first.requests();
        for (const auto &request : second.requests())
            all.push_back(request);
        return all;
    };
    int sent = 0;
    REQUIRE(GatewayFixture::eventually([&] {
        const auto id = "other-" + std::to_string(++sent);
        fixture.send(prompt(id, "key-2"));
        for (const auto &request : requestsOf()) {
            if (request.headers.find("X-Jujubesaddle-Attempt-Id") == id)
                return saltOf(request) != before;
        }
        return false;
    }));
    mayBreak = true;
    CHECK(answer.get().find("id: 3") != std::string::npos);
    std::set<std::string> resumed;
    for (const auto &request : requestsOf()) {
        if (request.headers.find("X-Jujubesaddle-Attempt-Id") == "id-1"
            && request.headers.find("Last-Event-Id"))
            resumed.insert(saltOf(request));
    }
    CHECK(resumed.size() == 1);
    CHECK_FALSE(resumed.contains(before));
}
