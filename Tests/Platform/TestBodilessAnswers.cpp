#include "RawWorkersFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

namespace asio = boost::asio;
using PlatformTests::GatewayFixture;
using PlatformTests::head;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;

namespace {

/// Returns all bytes that a caller receives for requests on one connection, of which the last one
/// asks to close it.
std::string exchangeBytes(const Http::Endpoint &gateway,
                          const std::vector<std::pair<std::string, std::string>> &requests)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(gateway);
    std::string bytes;
    for (const auto &[method, target] : requests)
        bytes += method + " " + target
                 + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n"
                   "X-Jujubesaddle-Attempt-Id: id-"
                 + std::to_string(bytes.size()) + "\r\n"
                 + (target == requests.back().second ? "Connection: close\r\n" : "") + "\r\n";
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(received), ec);
    return received;
}

/// Returns the status lines and what follows the heads, without the other fields.
std::vector<std::string> parts(std::string received)
{
    std::vector<std::string> result;
    for (std::size_t at = 0; (at = received.find("\r\n\r\n")) != std::string::npos;) {
        result.push_back(received.substr(0, received.find("\r\n")));
        received.erase(0, at + 4);
        const auto next = std::min(received.find("HTTP/1.1 "), received.size());
        result.push_back(received.substr(0, next));
        received.erase(0, next);
    }
    return result;
}

constexpr auto Length = "Content-Length: 4\r\n";

} // namespace

TEST_CASE("the answer to HEAD has no body, from a worker or the gateway")
{
    RawWorkersFixture fixture("app", [](RawConnection &connection, const Http::Request &request) {
        connection.send(head(request, "200 OK", Length) + (request.method == "HEAD" ? "" : "body"));
        connection.keep();
    });
    using Parts = std::vector<std::string>;
    CHECK(parts(exchangeBytes(fixture.callers(), {{"HEAD", "/views/a"}, {"GET", "/views/b"}}))
          == Parts {"HTTP/1.1 200 OK", "", "HTTP/1.1 200 OK", "body"});
    const auto refused =
        parts(exchangeBytes(fixture.callers(), {{"HEAD", "/nowhere"}, {"GET", "/views/b"}}));
    REQUIRE(refused.size() == 4);
    CHECK(refused.front() != "HTTP/1.1 200 OK");
    CHECK(refused[1].empty());
    CHECK(refused.back() == "body");
    CHECK(fixture.received() == 3);
}

TEST_CASE("no bytes follow an answer whose status has no body, where the next answer is due")
{
    const std::string status = GENERATE("204 No Content", "304 Not Modified");
    const std::string service = GENERATE("app", "llm");
    const std::string target = service == "app" ? "/views/" : "/streams/";
    RawWorkersFixture fixture(service, [&](RawConnection &connection, const auto &request) {
        const bool isBodiless = request.target == target + "none";
        connection.send(isBodiless ? head(request, status)
                                   : head(request, "404 Not Found", Length) + "body");
        connection.keep();
    });
    const std::vector<std::string> expected {"HTTP/1.1 " + status, "", "HTTP/1.1 404 Not Found",
                                             "body"};
    CHECK(parts(exchangeBytes(fixture.callers(), {{"GET", target + "none"}, {"GET", target}}))
          == expected);
}

TEST_CASE("an interim response of a worker is not taken for its answer")
{
    const std::string interim = GENERATE("100 Continue", "103 Early Hints", "101 Switching");
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const Http::Request &request) {
        connection.send("HTTP/1.1 " + interim + "\r\n\r\n" + head(request, interim)
                        + head(request, "200 OK", Length) + "body");
        connection.keep();
    });
    const auto answer = fixture.receive(GatewayFixture::request("/calls/a", "id-1"));
    CHECK(!answer.failure);
    CHECK(answer.response.status == (interim.starts_with("101") ? 502 : 200));
    CHECK(fixture.received() == 1);
}
