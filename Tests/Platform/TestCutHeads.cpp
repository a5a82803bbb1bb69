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

namespace {

constexpr auto Events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
constexpr auto LastEvent = "id: 3\ndata: 3\n\n";
constexpr std::array Framings {"length", "chunks", "none"};
constexpr std::array Ends {"close", "reset"};
constexpr auto Interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

/// Returns the head of an answer, and its body framed as the head says.
std::pair<std::string, std::string> answer(const Http::Request &request, const std::string &body,
                                           const std::string &framing)
{
    if (framing == "length")
        return {head(request, "200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n"),
                body};
    if (framing == "chunks") {
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx", body.size());
        return {head(request, "200 OK", "Transfer-Encoding: chunked\r\n"),
                size.data() + ("\r\n" + body) + "\r\n0\r\n\r\n"};
    }
    return {head(request), body};
}

/// Sends the first bytes of an answer's head, and ends the connection.
void sendCutHead(RawConnection &connection, const std::string &head, std::size_t size,
                 const std::string &end)
{
    connection.send(head.substr(0, size));
    if (end == "reset")
        connection.reset();
}

/// A request whose prompt shares no part with others, so that none of them is taken for the cause
/// of a crash.
Http::Request streamRequest(const std::string &target, int number)
{
    const auto id = std::to_string(number);
    auto request = GatewayFixture::streamRequest(target, "id-" + id);
    request.headers.remove("X-Jujubesaddle-Prompt-Prefix");
    request.headers.add("X-Jujubesaddle-Prompt-Prefix", "a" + id + ":600,b" + id + ":400");
    return request;
}

} // namespace

// Guards against a short head that becomes a success with an empty or short body (MIXED).
TEST_CASE("an answer that ends within its head is not delivered as a success")
{
    const std::string framing = GENERATE(from_range(Framings));
    const std::string end = GENERATE(from_range(Ends));
    const std::string before = GENERATE(as<std::string>(), "", Interim);
    INFO(framing << ", " << end << ", " << (before.empty() ? "alone" : "after an interim answer"));
    std::atomic<std::size_t> size = 0;
    std::atomic<std::size_t> headSize = 1;
    std::atomic<int> onKept = 0;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const Http::Request &request) {
        const auto [head, body] = answer(request, "the whole", framing);
        if (request.target == "/calls/sound") {
            const auto [soundHead, soundBody] = answer(request, "sound", "length");
            connection.send(soundHead + soundBody);
            connection.keep();
            return;
        }
        headSize = before.size() + head.size();
        onKept += connection.served() > 0 ? 1 : 0;
        sendCutHead(connection, before + head, size, end);
    });
    int number = 0;
    std::size_t cut = 0;
    for (; size < headSize; size += 2) {
        const auto sound =
            fixture.receive(GatewayFixture::request("/calls/sound", std::to_string(++number)));
        CHECK(sound.response.body == "sound");
        const auto received = fixture.received();
        const auto target = "/calls/" + std::to_string(size);
        const auto answer =
            fixture.receive(GatewayFixture::request(target, std::to_string(++number)));
        INFO("after " << size << " of " << headSize << " bytes");
        CHECK(!answer.failure);
        CHECK(answer.response.status == 502);
        CHECK(answer.header("X-Jujubesaddle-Server-Seal").empty());
        // The call may have run.
        CHECK(fixture.received() == received + 1);
        ++cut;
    }
    CHECK(cut > 30);
    CHECK(onKept > 0);
}

// Guards against a stream that goes on, or ends, with an answer that never began (ORDER).
TEST_CASE("a stream that is resumed with an answer cut within its head is cut, not completed")
{
    const std::string framing = GENERATE(from_range(Framings));
    const std::string end = GENERATE(from_range(Ends));
    INFO(framing << ", " << end);
    std::atomic<std::size_t> size = 0;
    std::atomic<std::size_t> headSize = 1;
    RawWorkersFixture fixture("llm", [&](RawConnection &connection, const Http::Request &request) {
        if (!isResumed(request)) {
            connection.send(head(request, "200 OK", "Content-Length: 100\r\n") + Events);
            return;
        }
        const auto [head, body] = answer(request, LastEvent, framing);
        headSize = head.size();
        sendCutHead(connection, head, size, end);
    });
    int number = 0;
    for (; size < headSize; size += 7) {
        const auto received = fixture.received();
        const auto answer = fixture.receive(streamRequest("/streams/a", ++number));
        INFO("after " << size << " of " << headSize << " bytes");
        CHECK(answer.failure);
        CHECK(answer.response.body == Events);
        CHECK(fixture.received() == received + 2);
    }
    CHECK(number > 10);
}

TEST_CASE("a stream whose first answer is cut within its head is begun again, and is whole")
{
    const std::string framing = GENERATE(from_range(Framings));
    const std::string end = GENERATE(from_range(Ends));
    INFO(framing << ", " << end);
    std::atomic<std::size_t> size = 0;
    std::atomic<std::size_t> headSize = 1;
    std::atomic<bool> isFirst = true;
    RawWorkersFixture fixture("llm", [&](RawConnection &connection, const Http::Request &request) {
        const auto [head, body] = answer(request, Events, framing);
        headSize = head.size();
        if (isFirst.exchange(false)) {
            sendCutHead(connection, head, size, end);
            return;
        }
        connection.send(head + body);
        // A connection that closes just as it is used again would add an attempt.
        if (framing != "none")
            connection.keep();
    });
    int number = 0;
    for (; size < headSize; size += 7) {
        isFirst = true;
        const auto answer = fixture.receive(streamRequest("/streams/a", ++number));
        INFO("after " << size << " of " << headSize << " bytes");
        CHECK(!answer.failure);
        CHECK(answer.response.status == 200);
        CHECK(answer.response.body == Events);
    }
    CHECK(fixture.received() == static_cast<std::size_t>(2 * number));
}

TEST_CASE("an answer whose head arrives in two pieces is whole")
{
    const std::string framing = GENERATE(from_range(Framings));
    const std::string before = GENERATE(as<std::string>(), "", Interim);
    std::atomic<std::size_t> size = 0;
    std::atomic<std::size_t> headSize = 1;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const Http::Request &request) {
        const auto [head, body] = answer(request, "the whole", framing);
        headSize = before.size() + head.size();
        connection.send((before + head).substr(0, size));
        std::this_thread::sleep_for(20ms);
        connection.send((before + head).substr(size) + body);
        if (framing != "none")
            connection.keep();
    });
    for (; size < headSize; size += 5) {
        const auto answer = fixture.receive(GatewayFixture::request("/calls/a", "id-1"));
        INFO("after " << size << " of " << headSize << " bytes");
        CHECK(!answer.failure);
        CHECK(answer.response.status == 200);
        CHECK(answer.response.body == "the whole");
    }
}
