#include "RawWorkersFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::head;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;
using StandIns::RawServer;

namespace {

// More than sockets buffer, so that the gateway still writes when the answer arrives.
constexpr std::size_t UploadBytes = 3'500'000;
constexpr std::size_t MaxBodyBytes = 4'194'304;
constexpr std::size_t PartBytes = 5'000;
constexpr auto Event = "id: 1\ndata: 1\n\n";

Http::Request upload(const std::string &target, const std::string &id)
{
    auto request = target.starts_with("/streams/") ? GatewayFixture::streamRequest(target, id)
                                                   : GatewayFixture::request(target, id);
    request.body = std::string(UploadBytes, 'u');
    return request;
}

/// Workers that answer before they have read the upload, with neither a length nor chunks, and then
/// reset the connection.
RawServer::Script resetEarly(const std::string &part, std::chrono::milliseconds pause, bool isOld)
{
    return [=](RawConnection &connection, const Http::Request &request) {
        auto begin = head(request, "200 OK", "Content-Type: text/event-stream\r\n");
        if (isOld)
            begin.replace(0, begin.find(' '), "HTTP/1.0");
        connection.send(begin + part);
        std::this_thread::sleep_for(pause);
        connection.reset();
    };
}

/// Workers that answer when they have read the head of a request.
class EarlyWorkersFixture : public RawWorkersFixture
{
public:
    EarlyWorkersFixture(const std::string &service, RawServer::Script script)
        : RawWorkersFixture(service, std::move(script), {}, defaultRoutes(),
                            RawServer::Reading::Head)
    {
        configure(2, defaultRoutes(), defaultTenants(), MaxBodyBytes);
        REQUIRE(eventually([this, n = 0]() mutable {
            auto request = upload("/missing", "limit-" + std::to_string(++n));
            return receive(std::move(request)).response.status == 404;
        }));
    }
};

} // namespace

TEST_CASE("a part of an early answer, reset while its upload is written, is taken for the whole")
{
    const auto pause = GENERATE(0ms, 5ms, 50ms);
    const bool isOld = GENERATE(false, true);
    CAPTURE(pause.count(), isOld);
    EarlyWorkersFixture plain("app", resetEarly(std::string(PartBytes, 'p'), pause, isOld));
    for (const std::string target : {"/calls/a", "/views/a"}) {
        const auto answer = plain.receive(upload(target, "id" + target));
        CAPTURE(target, answer.response.status);
        CHECK(answer.response.status >= 500);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal").empty());
        CHECK(answer.response.body.find("pppp") == std::string::npos);
    }
}

TEST_CASE("an early stream that is reset while its prompt is written looks complete")
{
    const auto pause = GENERATE(0ms, 5ms, 50ms);
    CAPTURE(pause.count());
    EarlyWorkersFixture fixture("llm", resetEarly(Event, pause, false));
    for (const std::string target : {"/streams/a", "/streams/once/a"}) {
        const auto answer = fixture.receive(upload(target, "id" + target));
        CAPTURE(target, answer.response.status);
        CHECK((answer.failure || answer.response.status >= 500));
    }
}

TEST_CASE("an early answer whose connection ends without a reset is cut")
{
    EarlyWorkersFixture fixture("app", [](RawConnection &connection, const Http::Request &request) {
        connection.send(head(request) + "whole");
    });
    const auto answer = fixture.receive(upload("/calls/a", "id-1"));
    CHECK(!answer.failure);
    CHECK(answer.response.status == 200);
    CHECK(answer.response.body == "whole");
}

TEST_CASE("a refusal says that a request has not run although a worker had begun to answer it")
{
    EarlyWorkersFixture fixture("app", resetEarly("part", 0ms, false));
    int refused = 0;
    for (int n = 0; n < 24; ++n) {
        const auto id = "id-" + std::to_string(n);
        const auto target = n % 2 == 0 ? "/calls/a" : "/views/a";
        const auto answer = fixture.receive(upload(target, id));
        CAPTURE(id, answer.response.body);
        if (answer.response.status != 503)
            continue;
        ++refused;
        CHECK_FALSE(fixture.hasReceived(id));
    }
    CAPTURE(refused);
    CHECK(fixture.received() > 0);
}

// RFC 9110, section 15: three digits from 100 to 599; others are processed as a server error.
TEST_CASE("a status that is none is passed on")
{
    const std::string status = GENERATE(as<std::string>(), "000", "099", "600", "999", "1000", "2");
    CAPTURE(status);
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const Http::Request &request) {
        connection.send(head(request, status + " Odd", "Content-Length: 4\r\n") + "body");
    });
    for (const std::string target : {"/calls/a", "/views/a"}) {
        const auto answer = fixture.receive(GatewayFixture::request(target, "id" + target));
        CAPTURE(target);
        CHECK(answer.response.status == 502);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal").empty());
    }
    // The call that may run only once reached one worker, the other one both.
    CHECK(fixture.received() == 3);
}
