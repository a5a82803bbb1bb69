#include "RawWorkersFixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::head;
using PlatformTests::isResumed;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;
using StandIns::RawServer;

namespace {

constexpr auto Events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
constexpr auto LastEvent = "id: 3\ndata: 3\n\n";

/// Fails the first of two attempts with the given script, and completes the second.
RawServer::Script failFirst(RawServer::Script fail)
{
    auto attempts = std::make_shared<std::atomic<int>>(0);
    return [attempts, fail = std::move(fail)](RawConnection &connection, const auto &request) {
        if ((*attempts)++ % 2 == 0)
            fail(connection, request);
        else
            connection.send(head(request) + "from the second");
    };
}

/// Breaks a stream off after two events, and completes it when it is resumed after them.
RawServer::Script breakStream(std::function<void(RawConnection &)> end)
{
    return [end = std::move(end)](RawConnection &connection, const auto &request) {
        connection.send(head(request));
        if (isResumed(request)) {
            connection.send(LastEvent);
            return;
        }
        connection.send(Events);
        end(connection);
    };
}

void resetMidBody(RawConnection &connection, const Http::Request &request)
{
    connection.send(head(request) + "part of the");
    connection.reset();
}

} // namespace

TEST_CASE("an answer without a length that ends with its connection reaches the caller whole")
{
    const std::string large(300'000, 'x');
    RawWorkersFixture fixture(
        "app", [&large](RawConnection &connection, const Http::Request &request) {
            if (request.target == "/calls/whole")
                connection.send(head(request) + "whole");
            else if (request.target == "/calls/empty")
                connection.send(head(request));
            else if (request.target == "/calls/kept")
                connection.send(head(request, "200 OK", "Connection: keep-alive\r\n") + "kept");
            else if (request.target == "/calls/large")
                connection.send(head(request) + large);
            else if (request.target == "/calls/slow")
                connection.sendSlowly(head(request) + "byte by byte");
            else
                connection.send(head(request, "409 Conflict") + "conflict");
        });
    const std::vector<std::tuple<std::string, unsigned, std::string>> expected {
        {"whole", 200, "whole"},       {"empty", 200, ""},
        {"kept", 200, "kept"},         {"large", 200, large},
        {"slow", 200, "byte by byte"}, {"other", 409, "conflict"}};
    for (const auto &[name, status, body] : expected) {
        const auto answer = fixture.receive(GatewayFixture::request("/calls/" + name, name));
        INFO(name);
        CHECK(!answer.failure);
        CHECK(answer.response.status == status);
        CHECK(answer.response.body == body);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal") == "seal");
        // The caller can tell that the answer is complete.
        CHECK(answer.header("Content-Length") == std::to_string(body.size()));
    }
    CHECK(fixture.received() == expected.size());
}

TEST_CASE("an answer without a length that is reset is not delivered as a success")
{
    RawWorkersFixture fixture("app", [](RawConnection &connection, const Http::Request &request) {
        if (request.target == "/calls/large")
            connection.send(head(request) + std::string(300'000, 'x'));
        else if (request.target == "/calls/slow")
            connection.sendSlowly(head(request) + "part");
        else if (request.target == "/calls/failed")
            connection.send(head(request, "500 Internal Server Error") + "fail");
        else
            connection.send(head(request));
        connection.reset();
    });
    for (const std::string name : {"empty", "large", "slow", "failed"}) {
        const auto answer = fixture.receive(GatewayFixture::request("/calls/" + name, name));
        INFO(name);
        CHECK(!answer.failure);
        CHECK(answer.response.status == 502);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal").empty());
    }
    // These calls may run only once.
    CHECK(fixture.received() == 4);
}

TEST_CASE("a call that may be repeated is sent again after an answer without a length was reset")
{
    RawWorkersFixture fixture("app", failFirst(resetMidBody));
    const auto answer = fixture.receive(GatewayFixture::request("/views/a", "id-1", "GET"));
    CHECK(!answer.failure);
    CHECK(answer.response.status == 200);
    CHECK(answer.response.body == "from the second");
    CHECK(fixture.received() == 2);
}

TEST_CASE("a server error without a length is delivered, or repeated where the route allows")
{
    RawWorkersFixture fixture(
        "app", failFirst([](RawConnection &connection, const Http::Request &request) {
            connection.send(head(request, "500 Internal Server Error") + "failed");
        }));
    const auto repeated = fixture.receive(GatewayFixture::request("/views/a", "id-1", "GET"));
    CHECK(repeated.response.status == 200);
    CHECK(repeated.response.body == "from the second");
    const auto delivered = fixture.receive(GatewayFixture::request("/calls/a", "id-2"));
    CHECK(!delivered.failure);
    CHECK(delivered.response.status == 500);
    CHECK(delivered.response.body == "failed");
    CHECK(delivered.header("X-Jujubesaddle-Server-Seal") == "seal");
    CHECK(fixture.received() == 3);
}

TEST_CASE("an answer without a length that says not executed counts, even when it is reset")
{
    const bool isReset = GENERATE(false, true);
    RawWorkersFixture fixture(
        "app", failFirst([=](RawConnection &connection, const Http::Request &request) {
            connection.send(
                head(request, "503 Service Unavailable", "X-Jujubesaddle-Not-Executed: 1\r\n")
                + "busy");
            if (isReset)
                connection.reset();
        }));
    const auto answer = fixture.receive(GatewayFixture::request("/calls/a", "id-1"));
    CHECK(answer.response.status == 200);
    CHECK(answer.response.body == "from the second");
    CHECK(fixture.received() == 2);
}

TEST_CASE("a stream without a length that ends after a whole event is complete")
{
    const std::string large = "id: 9\ndata: " + std::string(100'000, 'x') + "\n\n";
    RawWorkersFixture fixture("llm",
                              [&large](RawConnection &connection, const Http::Request &request) {
                                  connection.send(head(request));
                                  if (request.target == "/streams/slow")
                                      connection.sendSlowly(std::string(Events) + LastEvent);
                                  else if (request.target == "/streams/large")
                                      connection.send(Events + large + large);
                                  else
                                      connection.send(Events);
                              });
    const std::map<std::string, std::string> expected {{"whole", Events},
                                                       {"slow", std::string(Events) + LastEvent},
                                                       {"large", Events + large + large}};
    for (const auto &[name, body] : expected) {
        const auto answer =
            fixture.receive(GatewayFixture::streamRequest("/streams/" + name, name));
        INFO(name);
        CHECK(!answer.failure);
        CHECK(answer.response.status == 200);
        CHECK(answer.response.body == body);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal") == "seal");
        CHECK(answer.header("Transfer-Encoding") == "chunked");
    }
    CHECK(fixture.received() == expected.size());
}

TEST_CASE("a stream without a length that ends inside an event is resumed at another engine")
{
    RawWorkersFixture fixture("llm", breakStream([](RawConnection &it) { it.send("id: 3\nda"); }));
    const auto answer = fixture.receive(GatewayFixture::streamRequest("/streams/a", "id-1"));
    CHECK(!answer.failure);
    CHECK(answer.response.body == std::string(Events) + LastEvent);
    CHECK(fixture.wasResumedElsewhere());
}

TEST_CASE("a stream without a length that is reset between two events is resumed, not completed")
{
    const auto pause = GENERATE(0ms, 100ms);
    RawWorkersFixture fixture("llm", breakStream([=](RawConnection &it) {
                                  std::this_thread::sleep_for(pause);
                                  it.reset();
                              }));
    const auto answer = fixture.receive(GatewayFixture::streamRequest("/streams/a", "id-1"));
    CHECK(!answer.failure);
    CHECK(answer.response.body == std::string(Events) + LastEvent);
    CHECK(fixture.wasResumedElsewhere());
}

TEST_CASE("a stream without a length that may not be resumed is cut after the last whole event")
{
    const bool isReset = GENERATE(false, true);
    RawWorkersFixture fixture("llm", breakStream([=](RawConnection &it) {
                                  if (isReset)
                                      it.reset();
                                  else
                                      it.send("id: 3\nda");
                              }));
    const auto answer = fixture.receive(GatewayFixture::streamRequest("/streams/once/a", "id-1"));
    CHECK(answer.failure);
    CHECK(answer.response.body == Events);
    CHECK(fixture.received() == 1);
}

TEST_CASE("a connection is closed, and not used again, after an answer without a length")
{
    constexpr int Count = 6;
    RawWorkersFixture fixture("app", [](RawConnection &connection, const Http::Request &request) {
        const bool isRefused = request.target == "/calls/refused";
        connection.send(
            head(request, isRefused ? "503 Service Unavailable" : "200 OK",
                 "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n"
                     + std::string(isRefused ? "X-Jujubesaddle-Not-Executed: 1\r\n" : ""))
            + "body");
    });
    for (int n = 0; n < Count; ++n) {
        const auto id = "id-" + std::to_string(n);
        CHECK(fixture.receive(GatewayFixture::request("/calls/a", id)).response.status == 200);
    }
    CHECK(fixture.received() == Count);
    fixture.receive(GatewayFixture::request("/calls/refused", "refused"));
    fixture.receive(GatewayFixture::request("/calls/a", "last"));
    CHECK(GatewayFixture::eventually([&] { return fixture.openConnections() == 0; }));
    CHECK(fixture.bytesAfterEnd() == 0);
}
