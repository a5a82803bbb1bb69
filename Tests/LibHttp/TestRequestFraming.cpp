#include <LibHttp/Server.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <string>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/// A server that notes the requests that it executes.
struct Fixture
{
    Core::IoThreads threads {1};
    std::mutex mutex;
    std::vector<Http::Request> executed;
    std::unique_ptr<Http::Server> server;

    Fixture()
    {
        Http::ServerLimits limits;
        limits.requestTime = 500ms;
        limits.idleTime = 500ms;
        server =
            Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), limits,
                                 [this](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                     {
                                         const std::scoped_lock lock(mutex);
                                         executed.push_back(exchange.request());
                                     }
                                     co_await exchange.respond({200, {}, "served"});
                                 })
                .value();
    }
    ~Fixture() { threads.stop(); }

    /// Sends the bytes, in pieces, and returns what arrives until the server closes the connection.
    std::string send(const std::string &bytes, std::size_t pieceBytes = std::string::npos) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(server->localEndpoint());
        socket.set_option(asio::ip::tcp::no_delay(true));
        boost::system::error_code ec;
        for (std::size_t at = 0; at < bytes.size() && !ec;) {
            const auto n = std::min(pieceBytes, bytes.size() - at);
            asio::write(socket, asio::buffer(bytes.data() + at, n), ec);
            at += n;
        }
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

    /// Sends the bytes and closes the connection.
    void leaveAfter(const std::string &bytes) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(server->localEndpoint());
        asio::write(socket, asio::buffer(bytes));
    }
};

void checkRefused(const std::string &answer)
{
    CHECK(answer.starts_with("HTTP/1."));
    CHECK(answer.substr(9, 3) == "400");
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find("served") == std::string::npos);
}

const std::string innerRequest = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";

std::string post(const std::string &fields, const std::string &body, char version = '1')
{
    return std::string("POST /outer HTTP/1.") + version + "\r\nHost: x\r\n" + fields + "\r\n"
           + body;
}

std::string chunked(const std::string &body)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return size.data() + ("\r\n" + body) + "\r\n0\r\n\r\n";
}

/// Requests of which a reader may take a part of the body for another request.
std::vector<std::string> uncertainRequests()
{
    const auto length = std::to_string(innerRequest.size());
    return {
        post("Transfer-Encoding: xchunked\r\n", innerRequest),
        post("Transfer-Encoding: gzip\r\n", innerRequest),
        post("Transfer-Encoding: chunked, identity\r\n", innerRequest),
        post("Transfer-Encoding: chunked, chunked\r\n", innerRequest),
        post("Transfer-Encoding: gzip, chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: identity\r\n", innerRequest),
        post("Transfer-Encoding:\r\n", innerRequest),
        post("Transfer-Encoding: \"chunked\"\r\n", innerRequest),
        post("Transfer-Encoding: chunked;q=1\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: x\r\n chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding : chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: chunked\r\n", chunked(innerRequest), '0'),
        post("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", chunked(innerRequest)),
        post("Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("Content-Length: 0\r\nTransfer-Encoding: xchunked\r\n", innerRequest),
        post("Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n", innerRequest),
        post("Content-Length: 0\r\nContent-Length: " + length + "\r\n", innerRequest),
        post("Content-Length: " + length + "\r\nContent-Length: " + length + "\r\n", innerRequest),
        post("Content-Length: " + length + ", " + length + "\r\n", innerRequest),
        post("Content-Length: 0, " + length + "\r\n", innerRequest),
        post("Content-Length: +" + length + "\r\n", innerRequest),
        post("Content-Length: -1\r\n", innerRequest),
        post("Content-Length: 0x0\r\n", innerRequest),
        post("Content-Length:\r\n", innerRequest),
        post("Content-Length : 0\r\n", innerRequest),
        post("Content-Length: 18446744073709551616\r\n", innerRequest),
        post("X: a\rContent-Length: 0\r\n", innerRequest),
        post("Host: y\r\nContent-Length: " + length + "\r\n", innerRequest),
        post("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "-1\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "10000000000000000\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "0\r\nContent-Length: 5\r\n\r\n" + innerRequest)};
}

/// Requests with fields that go on in another line, which readers join or not.
std::vector<std::string> foldedRequests()
{
    const auto length = std::to_string(innerRequest.size());
    std::vector<std::string> requests {
        post("Transfer-Encoding:\r\n chunked\r\n", chunked(innerRequest)),
        post("X: a\r\n Transfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("X: a\r\n\tb\r\n", ""), "GET /outer HTTP/1.1\r\n Host: x\r\n\r\n"};
    for (const std::string method : {"POST", "GET", "HEAD", "OPTIONS", "PUT"}) {
        for (const std::string fold : {"\r\n ", "\r\n\t", " \r\n \r\n "}) {
            requests.push_back(method + " /outer HTTP/1.1\r\nHost: x\r\nContent-Length:" + fold
                               + length + "\r\n\r\n" + innerRequest);
            requests.push_back(method + " /outer HTTP/1.1\r\nHost: x\r\nX: a" + fold
                               + "Content-Length: " + length + "\r\n\r\n" + innerRequest);
        }
    }
    return requests;
}

} // namespace

// Guards against bytes of a body that are executed as another request (UNASKED, review/3).
TEST_CASE("a request whose end is not certain is refused, and nothing in its body is executed")
{
    const auto bytes = GENERATE(from_range(uncertainRequests()));
    INFO(bytes);
    Fixture fixture;
    checkRefused(fixture.send(bytes));
    CHECK(fixture.executed.empty());
}

// Guards against a caller and another reader before this one that see different fields (UNASKED).
TEST_CASE("a request with a field that goes on in another line is refused")
{
    const auto bytes = GENERATE(from_range(foldedRequests()));
    INFO(bytes);
    Fixture fixture;
    checkRefused(fixture.send(bytes));
    CHECK(fixture.executed.empty());
}

// Guards against a check that sees only the first request of a connection, or only whole heads.
TEST_CASE("a request whose end is not certain is refused behind others, and in pieces")
{
    const bool isFolded = GENERATE(false, true);
    const std::size_t pieceBytes = GENERATE(1, 7, 100);
    const auto sound = post("Content-Length: 5\r\n", "sound");
    for (const auto &bytes : isFolded ? foldedRequests() : uncertainRequests()) {
        INFO(bytes << "\nin pieces of " << pieceBytes);
        Fixture fixture;
        const auto answers = fixture.send(sound + sound + bytes + sound, pieceBytes);
        const std::string served = "served";
        const auto last = answers.rfind(served);
        REQUIRE(last != std::string::npos);
        checkRefused(answers.substr(last + served.size()));
        CHECK(fixture.executed.size() == 2);
    }
}

TEST_CASE("a caller that leaves within a request executes nothing of it")
{
    Fixture fixture;
    const auto whole = GENERATE_COPY(
        post("Content-Length: " + std::to_string(innerRequest.size()) + "\r\n", innerRequest),
        post("Transfer-Encoding: chunked\r\n", chunked(innerRequest)));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        INFO("after " << size << " of " << whole.size() << " bytes");
        fixture.leaveAfter(whole.substr(0, size));
    }
    fixture.send(whole);
    CHECK(fixture.executed.size() == 1);
}

TEST_CASE("a body that looks like a request is passed on whole, and a trailer is no header")
{
    Fixture fixture;
    const auto bytes = GENERATE_COPY(
        post("Content-Length: " + std::to_string(innerRequest.size()) + "\r\n", innerRequest),
        post("Transfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("transfer-encoding: Chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: chunked\r\n",
             chunked(innerRequest)
                 .insert(chunked(innerRequest).size() - 2, "Authorization: x\r\n")));
    INFO(bytes);
    fixture.send(bytes);
    REQUIRE(fixture.executed.size() == 1);
    CHECK(fixture.executed.front().body == innerRequest);
    CHECK(!fixture.executed.front().headers.find("Authorization"));
}
