#include "../StandIns/ReceivedAnswer.h"
#include "GatewayFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

constexpr std::size_t MemoryMb = 110;
constexpr std::size_t MemoryBytes = MemoryMb * 1024 * 1024;
constexpr std::size_t BodyBytes = 4 * 1024 * 1024;
constexpr std::size_t PieceBytes = 64 * 1024;
constexpr std::size_t Count = 16;

/// A gateway on a machine with little memory, and one worker of which requests wait.
struct Fixture : GatewayFixture
{
    std::atomic<std::size_t> waiting = 0;
    std::atomic<bool> maySettle = false;
    WorkerStandIn &worker;
    Processes::Process *gateway = nullptr;

    Fixture()
        : worker(addWorker("w-1", "app"))
    {
        // The time of the requests is no part of the case.
        auto routes = defaultRoutes();
        const std::string timeout = "\"TimeoutMs\":3000,";
        for (auto at = routes.find(timeout); at != std::string::npos; at = routes.find(timeout, at))
            routes.replace(at, timeout.size(), "\"TimeoutMs\":30000,");
        store.put("keyed.op", "config",
                  R"({"Version":1,"Routes":)" + routes
                      + R"(,"Services":[{"Name":"app","MaxConns":96},{"Name":"llm"}],)"
                        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
                        R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":)"
                      + defaultTenants() + "}");
        gateway = &spawnGateway(writeSettings(
            {}, "PortRange = [0,0]\nLimits = {MemoryMb = " + std::to_string(MemoryMb) + "}\n"));
        awaitPorts(*gateway);
        REQUIRE(eventually([this] { return readiness() == 200; }));
    }
    ~Fixture() { maySettle = true; }

    asio::awaitable<void> awaitSettling()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        for (++waiting; !maySettle;) {
            timer.expires_after(1ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    /// Sends the requests of all callers at once, and settles the waiting ones when those that can
    /// wait do. Returns the answers and the largest memory of the gateway.
    std::pair<std::vector<Http::Response>, std::size_t> sendAll(const Http::Request &request,
                                                                std::size_t waitingCount)
    {
        std::vector<std::future<Http::Response>> answers;
        for (std::size_t n = 0; n < Count; ++n) {
            auto copy = request;
            copy.headers.remove("X-Jujubesaddle-Attempt-Id");
            copy.headers.add("X-Jujubesaddle-Attempt-Id", "id-" + std::to_string(n));
            copy.headers.remove("X-Jujubesaddle-Deadline-Ms");
            copy.headers.add("X-Jujubesaddle-Deadline-Ms", "30000");
            answers.push_back(std::async(std::launch::async,
                                         [this, copy = std::move(copy)] { return send(copy); }));
        }
        std::size_t peak = 0;
        const auto note = [&] { peak = std::max(peak, gateway->residentBytes()); };
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (waiting < waitingCount && std::chrono::steady_clock::now() < end)
            note();
        CHECK(send(GatewayFixture::request("/calls/small", "id-small")).status == 200);
        maySettle = true;
        std::vector<Http::Response> received;
        for (auto &answer : answers) {
            while (answer.wait_for(1ms) != std::future_status::ready)
                note();
            received.push_back(answer.get());
        }
        note();
        return {std::move(received), peak};
    }
};

} // namespace

TEST_CASE("many large bodies at once are refused instead of ending the gateway by its memory")
{
    Fixture fixture;
    fixture.worker.setBehaviour([&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        if (exchange.request().target == "/calls/large")
            co_await fixture.awaitSettling();
        co_return false;
    });
    auto request = GatewayFixture::request("/calls/large", "id");
    request.body.assign(BodyBytes, 'x');
    const auto [answers, peak] = fixture.sendAll(request, Count);
    const auto served = std::count_if(answers.begin(), answers.end(),
                                      [](const auto &answer) { return answer.status == 200; });
    CHECK(std::all_of(answers.begin(), answers.end(), [](const auto &answer) {
        return answer.status == 200 || (answer.status == 503 && answer.headers.find("Retry-After"));
    }));
    CHECK(served > 0);
    CHECK(fixture.waiting == static_cast<std::size_t>(served));
    CHECK(peak < MemoryBytes);
}

TEST_CASE("many large answers at once arrive whole and do not fill the memory of the gateway")
{
    Fixture fixture;
    const std::string half(BodyBytes, 'y');
    fixture.worker.setBehaviour([&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        if (exchange.request().target != "/views/large")
            co_return false;
        co_await exchange.startStream(200, WorkerStandIn::answerHeaders(exchange.request()));
        co_await exchange.write(half);
        co_await fixture.awaitSettling();
        co_await exchange.write(half);
        co_await exchange.finishStream();
        co_return true;
    });
    const auto [answers, peak] =
        fixture.sendAll(GatewayFixture::request("/views/large", "id", "GET"), Count);
    CHECK(std::all_of(answers.begin(), answers.end(), [&](const auto &answer) {
        return answer.status == 200 && answer.body == half + half;
    }));
    CHECK(peak < MemoryBytes);
}

// Guards against bytes without an end that are passed on for as long as the caller waits.
TEST_CASE("answers without an end are cut at the size limit, also without memory to hold them")
{
    constexpr std::size_t AnswerLimitBytes = 16 * 1024 * 1024;
    constexpr std::size_t EndlessBytes = 3 * AnswerLimitBytes;
    Fixture fixture;
    fixture.worker.setBehaviour([&](Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        co_await exchange.startStream(200, WorkerStandIn::answerHeaders(exchange.request()));
        for (std::size_t sent = 0; sent < EndlessBytes; sent += PieceBytes)
            co_await exchange.write(std::string(PieceBytes, 'z'));
        co_await fixture.awaitSettling();
        co_return true;
    });
    Http::Client client;
    std::vector<std::future<StandIns::ReceivedAnswer>> answers;
    for (std::size_t n = 0; n < Count; ++n) {
        auto request = GatewayFixture::request("/calls/endless", "id-" + std::to_string(n));
        request.headers.remove("X-Jujubesaddle-Deadline-Ms");
        request.headers.add("X-Jujubesaddle-Deadline-Ms", "30000");
        answers.push_back(
            asio::co_spawn(fixture.threads().next(),
                           StandIns::receiveAnswer(client, fixture.callers(), std::move(request)),
                           asio::use_future));
    }
    std::size_t cut = 0;
    for (auto &pending : answers) {
        const auto answer = pending.get();
        CHECK(answer.response.body.size() <= AnswerLimitBytes);
        CHECK((answer.failure || answer.response.status == 502));
        cut += answer.failure ? 1 : 0;
    }
    // Some were passed on as they arrived.
    CHECK(cut > 0);
    CHECK(fixture.gateway->residentBytes() < MemoryBytes);
}
