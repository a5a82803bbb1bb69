#include "RawWorkersFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::GatewayOptions;
using PlatformTests::head;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;
using StandIns::ReceivedAnswer;

namespace {

constexpr auto Grace = 4s;
constexpr std::string_view FirstEvent = "id: 1\ndata: 1\n\n";

GatewayOptions stopOptions()
{
    GatewayOptions options;
    options.graceS = Grace.count();
    return options;
}

/// Routes whose requests may take longer than the grace period.
std::string longRoutes()
{
    const auto route = [](const std::string &prefix, const std::string &kind,
                          const std::string &service, const std::string &more) {
        return R"({"Name":")" + prefix + R"(","Host":"a.example","PathPrefix":"/)" + prefix
               + R"(/","Kind":")" + kind + R"(","TimeoutMs":20000,"TargetLatencyMs":500,)"
               + R"("Priority":2,"MaxAttempts":2,"Service":")" + service + "\"" + more + "}";
    };
    return "[" + route("calls", "non_idempotent", "app", "") + ","
           + route("views", "idempotent", "app", "") + ","
           + route("streams", "streaming", "llm", R"(,"Resumable":true)") + "]";
}

Http::Request patient(Http::Request request)
{
    request.headers.remove("X-Jujubesaddle-Deadline-Ms");
    request.headers.add("X-Jujubesaddle-Deadline-Ms", "20000");
    return request;
}

std::future<ReceivedAnswer> sendLater(RawWorkersFixture &fixture, Http::Request request)
{
    return std::async(std::launch::async, [&fixture, request = patient(std::move(request))] {
        return fixture.receive(request);
    });
}

} // namespace

// Guards against requests that a planned stop cuts without an answer (LOST).
TEST_CASE("requests that still run at the end of a planned stop are answered, not cut")
{
    RawWorkersFixture fixture(
        "app", [](RawConnection &connection, const auto &) { connection.keep(); }, stopOptions(),
        longRoutes());
    std::vector<std::future<ReceivedAnswer>> answers;
    for (int n = 0; n < 20; ++n) {
        const auto id = "id-" + std::to_string(n);
        answers.push_back(sendLater(fixture, n % 2 == 0
                                                 ? GatewayFixture::request("/calls/a", id)
                                                 : GatewayFixture::request("/views/a", id, "GET")));
    }
    REQUIRE(GatewayFixture::eventually([&] { return fixture.received() == answers.size(); }));
    const auto begin = std::chrono::steady_clock::now();
    fixture.gateway().signal(SIGTERM);
    for (auto &pending : answers) {
        const auto answer = pending.get();
        CHECK(!answer.failure);
        // The worker may have run it.
        CHECK(answer.response.status == 502);
        CHECK(answer.header("Connection") == "close");
    }
    CHECK(fixture.gateway().wait() == 0);
    CHECK(std::chrono::steady_clock::now() - begin < Grace);
    CHECK(fixture.received() == answers.size());
}

TEST_CASE("at the end of a planned stop a stream that began is cut, one that did not is answered")
{
    RawWorkersFixture fixture(
        "llm",
        [](RawConnection &connection, const Http::Request &request) {
            if (request.target == "/streams/begun")
                connection.send(head(request) + std::string(FirstEvent));
            connection.keep();
        },
        stopOptions(), longRoutes());
    auto begun = sendLater(fixture, GatewayFixture::streamRequest("/streams/begun", "id-1"));
    auto waiting = sendLater(fixture, GatewayFixture::streamRequest("/streams/waits", "id-2"));
    REQUIRE(GatewayFixture::eventually([&] { return fixture.received() == 2; }));
    fixture.gateway().signal(SIGTERM);
    const auto cut = begun.get();
    CHECK(cut.failure);
    CHECK(cut.response.body == FirstEvent);
    const auto answered = waiting.get();
    CHECK(!answered.failure);
    CHECK(answered.response.status == 502);
    CHECK(fixture.gateway().wait() == 0);
}

// Guards against requests that are checked when they arrive, but sent late in the grace period.
TEST_CASE("a request that an upstream rejects late in a planned stop is refused, not sent again")
{
    const std::string service = GENERATE(as<std::string>(), "app", "llm");
    RawWorkersFixture fixture(
        service,
        [](RawConnection &connection, const Http::Request &request) {
            std::this_thread::sleep_for(Grace - 1s);
            connection.send(head(request, "503 Service Unavailable",
                                 "X-Jujubesaddle-Not-Executed: 1\r\nContent-Length: 0\r\n"));
            connection.keep();
        },
        stopOptions(), longRoutes());
    auto pending =
        sendLater(fixture, service == "app" ? GatewayFixture::request("/calls/a", "id-1")
                                            : GatewayFixture::streamRequest("/streams/a", "id-1"));
    REQUIRE(GatewayFixture::eventually([&] { return fixture.received() == 1; }));
    fixture.gateway().signal(SIGTERM);
    const auto answer = pending.get();
    CHECK(!answer.failure);
    CHECK(answer.response.status == 503);
    CHECK(!answer.header("Retry-After").empty());
    CHECK(fixture.received() == 1);
    CHECK(fixture.gateway().wait() == 0);
}
