#include <LibHttp/Server.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <mutex>
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

    /// Sends the bytes and returns what arrives until the server closes the connection.
    std::string send(const std::string &bytes) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(server->localEndpoint());
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(bytes), ec);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }
};

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

} // namespace

TEST_CASE("a request whose end is not certain is refused, and nothing in its body is executed")
{
    const auto length = std::to_string(innerRequest.size());
    const auto bytes = GENERATE_COPY(
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
        post("Content-Length: -1\r\n", innerRequest), post("Content-Length: 0x0\r\n", innerRequest),
        post("Content-Length:\r\n", innerRequest), post("Content-Length : 0\r\n", innerRequest),
        post("Content-Length: 18446744073709551616\r\n", innerRequest),
        post("X: a\rContent-Length: 0\r\n", innerRequest),
        post("Host: y\r\nContent-Length: " + length + "\r\n", innerRequest),
        post("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "-1\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "10000000000000000\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n" + innerRequest),
        post("Transfer-Encoding: chunked\r\n", "0\r\nContent-Length: 5\r\n\r\n" + innerRequest));
    INFO(bytes);
    Fixture fixture;
    const auto answer = fixture.send(bytes);
    CHECK(answer.starts_with("HTTP/1."));
    CHECK(answer.substr(9, 3) == "400");
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find("served") == std::string::npos);
    CHECK(fixture.executed.empty());
}

TEST_CASE("a body that looks like a request is passed on whole, and a trailer is no header")
{
    Fixture fixture;
    const auto bytes = GENERATE_COPY(
        post("Content-Length: " + std::to_string(innerRequest.size()) + "\r\n", innerRequest),
        post("Transfer-Encoding: chunked\r\n", chunked(innerRequest)),
        post("transfer-encoding: Chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding:\r\n chunked\r\n", chunked(innerRequest)),
        post("Transfer-Encoding: chunked\r\n",
             chunked(innerRequest)
                 .insert(chunked(innerRequest).size() - 2, "Authorization: x\r\n")));
    INFO(bytes);
    fixture.send(bytes);
    REQUIRE(fixture.executed.size() == 1);
    CHECK(fixture.executed.front().body == innerRequest);
    CHECK(!fixture.executed.front().headers.find("Authorization"));
}
