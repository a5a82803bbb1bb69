#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <new>
#include <stdexcept>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

asio::awaitable<void> echo(Http::ServerExchange &exchange)
{
    if (exchange.request().target == "/throw")
        throw Core::Error(Core::ErrorKind::UnknownRoute);
    if (exchange.request().target != "/stream") {
        co_await exchange.respond({200, {}, exchange.request().body});
        co_return;
    }
    co_await exchange.startStream(200, {});
    for (int n = 0; n < 100; ++n)
        co_await exchange.write(std::to_string(n) + ",");
    co_await exchange.finishStream();
}

struct Fixture
{
    Core::IoThreads threads {2};
    Http::Client client;
    std::unique_ptr<Http::Server> server;

    explicit Fixture(Http::Server::Handler handler = echo, Http::ServerLimits limits = {})
        : server(Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), limits,
                                      std::move(handler))
                     .value())
    { }
    ~Fixture() { threads.stop(); }

    Http::Response fetch(Http::Request request)
    {
        return asio::co_spawn(threads.next(),
                              client.fetch(server->localEndpoint(), std::move(request), {}),
                              asio::use_future)
            .get();
    }

    /// Sends raw bytes and returns everything received until the server closes the connection.
    std::string sendRaw(const std::string &bytes) const
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

} // namespace

TEST_CASE("whole and streamed answers arrive complete over pooled connections")
{
    Fixture fixture;
    for (int n = 0; n < 20; ++n) {
        const auto body = std::string(100'000, static_cast<char>('a' + n));
        CHECK(fixture.fetch({"POST", "/", {}, body}).body == body);
        std::string expected;
        for (int i = 0; i < 100; ++i)
            expected += std::to_string(i) + ",";
        CHECK(fixture.fetch({"GET", "/stream", {}, ""}).body == expected);
    }
    const auto refused = fixture.fetch({"GET", "/throw", {}, ""});
    CHECK(refused.status == 404);
    CHECK(refused.body.find("unknown_route") != std::string::npos);
}

TEST_CASE("invalid requests get an error response and the connection is closed")
{
    Http::ServerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 1000;
    limits.requestTime = 200ms;
    Fixture fixture(echo, limits);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    CHECK(fixture.sendRaw("nonsense\r\n\r\n").find("malformed_request") != std::string::npos);
    CHECK(fixture.sendRaw(head + "X: " + std::string(2000, 'y') + "\r\n\r\n")
              .find("headers_too_large")
          != std::string::npos);
    CHECK(fixture.sendRaw(head + "Content-Length: 5000\r\n\r\n").find("body_too_large")
          != std::string::npos);
    CHECK(fixture.sendRaw(head + "Content-Length: 10\r\n\r\nabc").find("slow_caller")
          != std::string::npos);
    CHECK(
        fixture.sendRaw(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n").find("malformed_request")
        != std::string::npos);
}

TEST_CASE("a caller that closes early is detected while the handler waits")
{
    std::promise<void> gone;
    Fixture fixture([&gone](Http::ServerExchange &exchange) -> asio::awaitable<void> {
        asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
        exchange.setCallerGoneHook([&] { timer.cancel(); });
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        gone.set_value();
    });
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(fixture.server->localEndpoint());
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    CHECK(gone.get_future().wait_for(30s) == std::future_status::ready);
}

TEST_CASE("a caller that closes after the request timeout is detected too")
{
    std::promise<void> gone;
    Http::ServerLimits limits;
    limits.requestTime = 100ms;
    Fixture fixture(
        [&gone](Http::ServerExchange &exchange) -> asio::awaitable<void> {
            asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
            exchange.setCallerGoneHook([&] { timer.cancel(); });
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            gone.set_value();
        },
        limits);
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(fixture.server->localEndpoint());
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
        std::this_thread::sleep_for(300ms);
    }
    CHECK(gone.get_future().wait_for(10s) == std::future_status::ready);
}

TEST_CASE("aborting a finished call does not close the connection of a later call")
{
    Fixture fixture;
    auto run = [&](asio::awaitable<void> work) {
        asio::co_spawn(fixture.threads.at(0), std::move(work), asio::use_future).get();
    };
    run([](Fixture &fixture) -> asio::awaitable<void> {
        const auto endpoint = fixture.server->localEndpoint();
        Http::SendOptions options;
        options.abort = std::make_shared<Http::CallAbort>();
        auto first = co_await fixture.client.open(endpoint, Http::Request("GET", "/"), {}, options);
        while (co_await first->readSome()) { }
        auto second = co_await fixture.client.open(endpoint, Http::Request("GET", "/stream"), {},
                                                   Http::SendOptions());
        options.abort->abort();
        std::string body;
        while (auto piece = co_await second->readSome())
            body += *piece;
        CHECK(body.ends_with("99,"));
    }(fixture));
}

TEST_CASE("bytes after the end of an answer are not taken for a later answer")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, Http::parseEndpoint("127.0.0.1:0").value());
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    auto served = std::async(std::launch::async, [&] {
        for (int n = 0; n < 2; ++n) {
            auto socket = acceptor.accept();
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
            asio::write(socket, asio::buffer(answer + answer));
            boost::system::error_code ec;
            std::string rest;
            asio::read(socket, asio::dynamic_buffer(rest), ec);
            CHECK(rest.empty());
        }
    });
    {
        Core::IoThreads threads(1);
        Http::Client client;
        for (int n = 0; n < 2; ++n) {
            const auto body = asio::co_spawn(threads.at(0),
                                             client.fetch(acceptor.local_endpoint(),
                                                          Http::Request("GET", "/"), {}),
                                             asio::use_future)
                                  .get()
                                  .body;
            CHECK(body == "one");
        }
    }
    served.get();
}

TEST_CASE("a refused connection says that nothing was sent")
{
    Fixture fixture;
    const auto endpoint = fixture.server->localEndpoint();
    fixture.server->stopAccepting();
    // An attempt that crosses the close of the port may be reset after it was sent.
    while (!fixture.server->hasEnded())
        std::this_thread::sleep_for(1ms);
    for (int n = 0; n < 10; ++n) {
        auto attempt = asio::co_spawn(fixture.threads.next(),
                                      fixture.client.fetch(endpoint, {}, {}), asio::use_future);
        try {
            attempt.get();
            FAIL_CHECK("the attempt was answered");
        } catch (const Core::Error &error) {
            CHECK(error.kind() == Core::ErrorKind::UpstreamUnreachable);
            CHECK(error.attempt() == Core::ExecutionStatus::NotRun);
        }
    }
}

TEST_CASE("a head without end is refused, and a body that trickles does not prolong a call")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, Http::parseEndpoint("127.0.0.1:0").value());
    // Sends the start of an answer and then more bytes until the connection is closed. Returns the
    // number of bytes.
    const auto serve = [&](const std::string &start, const std::string &more,
                           std::chrono::milliseconds pause) {
        auto socket = acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        boost::system::error_code ec;
        std::size_t sent = asio::write(socket, asio::buffer(start), ec);
        while (!ec) {
            sent += asio::write(socket, asio::buffer(more), ec);
            std::this_thread::sleep_for(pause);
        }
        return sent;
    };
    const auto fetch = [&] {
        Core::IoThreads threads(1);
        Http::Client client;
        Http::ClientTimeouts timeouts;
        timeouts.connect = 200ms;
        timeouts.head = 600ms;
        timeouts.body = 200ms;
        return asio::co_spawn(
                   threads.at(0),
                   client.fetch(acceptor.local_endpoint(), Http::Request("GET", "/"), timeouts),
                   asio::use_future)
            .get();
    };
    auto head = std::async(std::launch::async, serve,
                           "HTTP/1.1 200 OK\r\nX-Filler: ", std::string(4'096, 'x'), 0ms);
    CHECK_THROWS_AS(fetch(), Core::Error);
    CHECK(head.get() < 8 * 1024 * 1024);
    auto body = std::async(std::launch::async, serve,
                           "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x", 50ms);
    const auto begin = std::chrono::steady_clock::now();
    CHECK_THROWS_AS(fetch(), Core::Error);
    CHECK(std::chrono::steady_clock::now() - begin < 2s);
    body.get();
}

TEST_CASE("a hook that throws when the caller closes ends neither the process nor its other work")
{
    std::promise<void> called;
    Fixture fixture([&called](Http::ServerExchange &exchange) -> asio::awaitable<void> {
        if (exchange.request().target != "/wait") {
            co_await exchange.respond({200, {}, "served"});
            co_return;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
        exchange.setCallerGoneHook([&] {
            timer.cancel();
            called.set_value();
            throw std::length_error("from a hook");
        });
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    });
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(fixture.server->localEndpoint());
        asio::write(socket, asio::buffer(std::string("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")));
        std::this_thread::sleep_for(100ms);
    }
    called.get_future().get();
    for (int n = 0; n < 4; ++n)
        CHECK(fixture.fetch({"GET", "/", {}, ""}).body == "served");
}

TEST_CASE("an unexpected exception in one request ends neither the server nor its port")
{
    Fixture fixture([](Http::ServerExchange &exchange) -> asio::awaitable<void> {
        if (exchange.request().target == "/allocate")
            throw std::bad_alloc();
        if (exchange.request().target == "/late") {
            co_await exchange.startStream(200, {});
            throw std::out_of_range("in the middle of a stream");
        }
        co_await exchange.respond({200, {}, "served"});
    });
    CHECK(fixture.fetch({"GET", "/allocate", {}, ""}).status == 500);
    CHECK_THROWS_AS(fixture.fetch({"GET", "/late", {}, ""}), Core::Error);
    CHECK(fixture.fetch({"GET", "/", {}, ""}).body == "served");
}
