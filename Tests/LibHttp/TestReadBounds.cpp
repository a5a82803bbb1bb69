#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// What fits into the buffers of a connection's sockets and the largest head.
constexpr std::size_t MaxTakenBytes = 16 * 1024 * 1024;
// Ends a sender whose peer reads without a bound.
constexpr std::size_t EndlessBytes = 256 * 1024 * 1024;

/// Sends the start and then the same bytes without end. Returns how many were sent before the peer
/// closed the connection.
std::size_t sendEndlessly(asio::ip::tcp::socket &socket, const std::string &start)
{
    const std::string more(64 * 1024, 'x');
    boost::system::error_code ec;
    std::size_t sent = asio::write(socket, asio::buffer(start), ec);
    while (!ec && sent < EndlessBytes)
        sent += asio::write(socket, asio::buffer(more), ec);
    return sent;
}

constexpr auto Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("an answer whose framing has no end does not fill the memory")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, Http::parseEndpoint("127.0.0.1:0").value());
    const auto start =
        GENERATE(as<std::string>(), "5;x=", "5\r\nhello\r\n0;x=", "5\r\nhello\r\n0\r\nX-Trailer: ");
    INFO(start);
    auto sent = std::async(std::launch::async, [&] {
        auto socket = acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        return sendEndlessly(socket, Chunked + start);
    });
    Core::IoThreads threads(1);
    Http::Client client;
    std::optional<Core::ErrorKind> failure;
    try {
        asio::co_spawn(threads.at(0),
                       client.fetch(acceptor.local_endpoint(), Http::Request("GET", "/"), {}),
                       asio::use_future)
            .get();
    } catch (const Core::Error &error) {
        failure = error.kind();
    }
    CHECK(failure == Core::ErrorKind::UpstreamAnswerMalformed);
    CHECK(sent.get() < MaxTakenBytes);
    threads.stop();
}

TEST_CASE("a request whose framing has no end does not fill the memory")
{
    Core::IoThreads threads(1);
    const auto server =
        Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                             [](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                 co_await exchange.respond({200, {}, "served"});
                             });
    const auto start =
        GENERATE(as<std::string>(), "5;x=", "5\r\nhello\r\n0;x=", "5\r\nhello\r\n0\r\nX-Trailer: ");
    INFO(start);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(server.value()->localEndpoint());
    const auto sent = sendEndlessly(
        socket, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + start);
    CHECK(sent < MaxTakenBytes);
    std::string answer;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    CHECK(answer.find("malformed_request") != std::string::npos);
    threads.stop();
}

TEST_CASE("a caller whose request is refused can send the rest and read the response")
{
    Http::ServerLimits limits;
    limits.bodyBytes = 4 * 1024 * 1024;
    Core::IoThreads threads(1);
    const auto server =
        Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), limits,
                             [](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                 co_await exchange.respond({200, {}, "served"});
                             });
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(server.value()->localEndpoint());
    const auto length = limits.bodyBytes + 1;
    const std::string head =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    CHECK_NOTHROW(asio::write(socket, asio::buffer(head + std::string(length, 'x'))));
    socket.shutdown(asio::socket_base::shutdown_send);
    std::string answer;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    CHECK(ec == asio::error::eof);
    CHECK(answer.find("body_too_large") != std::string::npos);
    threads.stop();
}

TEST_CASE("bodies beyond the memory for them are refused at once, and small ones go on")
{
    constexpr std::size_t LargeBytes = 1024 * 1024;
    constexpr std::size_t FittingCount = 3;
    Http::ServerLimits limits;
    limits.bodyBudget = std::make_shared<Http::BodyBudget>(4 * LargeBytes);
    Core::IoThreads threads(1);
    std::atomic<std::size_t> executed = 0;
    std::atomic<bool> maySettle = false;
    const auto server =
        Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), limits,
                             [&](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                 ++executed;
                                 asio::steady_timer timer(co_await asio::this_coro::executor);
                                 while (exchange.request().target == "/hold" && !maySettle) {
                                     timer.expires_after(1ms);
                                     co_await timer.async_wait(asio::use_awaitable);
                                 }
                                 co_await exchange.respond({200, {}, exchange.request().body});
                             });
    Http::Client client;
    const auto send = [&](const std::string &target, std::size_t bytes) {
        Http::Request request("POST", target, {}, std::string(bytes, 'x'));
        return asio::co_spawn(threads.at(0),
                              client.fetch(server.value()->localEndpoint(), std::move(request), {}),
                              asio::use_future);
    };
    std::vector<std::future<Http::Response>> held;
    for (std::size_t n = 0; n < FittingCount; ++n)
        held.push_back(send("/hold", LargeBytes));
    while (executed < FittingCount)
        std::this_thread::sleep_for(1ms);
    const auto refused = send("/", LargeBytes).get();
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("Retry-After") == "1");
    CHECK(refused.body.find("the memory for bodies is full") != std::string::npos);
    CHECK(executed == FittingCount);
    CHECK(send("/", 1'000).get().status == 200);
    maySettle = true;
    for (auto &answer : held)
        CHECK(answer.get().body.size() == LargeBytes);
    while (limits.bodyBudget->heldBytes() > 0)
        std::this_thread::sleep_for(1ms);
    CHECK(send("/", LargeBytes).get().status == 200);
    threads.stop();
}

TEST_CASE("a connection that was idle while the limits changed judges its next request by the new")
{
    Http::ServerLimits limits;
    limits.bodyBytes = 10;
    Core::IoThreads threads(1);
    const auto server =
        Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), limits,
                             [](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                 co_await exchange.respond({200, {}, exchange.request().body});
                             });
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(server.value()->localEndpoint());
    const auto ask = [&](std::size_t bytes) {
        asio::write(socket,
                    asio::buffer("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                 + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x')));
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
        return head.substr(9, 3);
    };
    CHECK(ask(0) == "200");
    // The server waits for the next request by now.
    std::this_thread::sleep_for(50ms);
    limits.bodyBytes = 100;
    server.value()->setLimits(limits);
    CHECK(ask(50) == "200");
    threads.stop();
}
