#include "RawWorkersFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;
using PlatformTests::head;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;

namespace {

std::string post(const std::string &target, const std::string &id, const std::string &fields,
                 const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n"
           + "X-Jujubesaddle-Attempt-Id: " + id + "\r\nX-Jujubesaddle-Deadline-Ms: 4000\r\n"
           + fields + "\r\n" + body;
}

/// Sends the bytes to the gateway and returns what arrives until it closes the connection.
std::string exchange(const Http::Endpoint &gateway, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(gateway);
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(received), ec);
    return received;
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

} // namespace

// Guards against a request inside another one's body that is run as one of its own (UNASKED).
TEST_CASE("the text of a request in the body of another one reaches no worker")
{
    const auto inner = post("/calls/inner", "inner", "Content-Length: 7\r\n", "approve");
    const auto fields =
        GENERATE_COPY(std::string("Transfer-Encoding: xchunked\r\n"),
                      std::string("Transfer-Encoding: chunked, identity\r\n"),
                      std::string("Transfer-Encoding: identity\r\n"),
                      std::string("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
                      std::string("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n"),
                      std::string("Content-Length: 0\r\nContent-Length: 400\r\n"),
                      std::string("X: a\r\n Content-Length: 400\r\n"),
                      "Content-Length:\r\n " + std::to_string(inner.size()) + "\r\n");
    const bool isBehindAnother = GENERATE(false, true);
    INFO(fields << (isBehindAnother ? ", behind another request" : ""));
    RawWorkersFixture fixture("app", [](RawConnection &connection, const Http::Request &request) {
        connection.send(head(request, "200 OK", "Content-Length: 6\r\n") + "answer");
        connection.keep();
    });
    const auto sound =
        isBehindAnother ? post("/calls/a", "sound", "Content-Length: 1\r\n", "x") : "";
    const auto received =
        exchange(fixture.callers(), sound + post("/calls/outer", "outer", fields, inner));
    CHECK(count(received, "HTTP/1.1 200") == (isBehindAnother ? 1 : 0));
    CHECK(count(received, "HTTP/1.1 400") == 1);
    CHECK(count(received, "answer") == (isBehindAnother ? 1 : 0));
    CHECK(fixture.received() == (isBehindAnother ? 1 : 0));
}
