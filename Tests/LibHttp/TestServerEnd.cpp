#include <LibHttp/Server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <list>
#include <string>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server on one thread, which the test can hold up.
struct EndingServer
{
    Core::IoThreads threads {1};
    std::unique_ptr<Http::Server> server =
        Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                             [](Http::ServerExchange &exchange) -> asio::awaitable<void> {
                                 co_await exchange.respond({200, {}, "served"});
                             })
            .value();

    ~EndingServer() { threads.stop(); }

    /// Lets the thread of the server wait until the returned promise is set.
    std::promise<void> holdUp()
    {
        std::promise<void> release;
        std::promise<void> begun;
        asio::post(threads.at(0), [&begun, held = release.get_future().share()] {
            begun.set_value();
            held.wait();
        });
        begun.get_future().wait();
        return release;
    }
};

class Caller
{
public:
    explicit Caller(const Http::Server &server) { m_socket.connect(server.localEndpoint()); }

    void send() { asio::write(m_socket, asio::buffer(std::string(Request))); }

    /// Returns whether a request is answered, rather than its connection closed.
    bool isServed()
    {
        std::string answer;
        boost::system::error_code ec;
        asio::read_until(m_socket, asio::dynamic_buffer(answer), "served", ec);
        return !ec;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket {m_context};
};

} // namespace

TEST_CASE("a connection whose first request is on its way is not closed as idle")
{
    EndingServer ending;
    Caller caller(*ending.server);
    // Long enough for the connection to be accepted and closed.
    for (int n = 0; n < 5; ++n) {
        std::this_thread::sleep_for(20ms);
        ending.server->closeIdle();
    }
    caller.send();
    CHECK(caller.isServed());
}

TEST_CASE("a kept connection whose next request has arrived is not closed as idle")
{
    EndingServer ending;
    Caller caller(*ending.server);
    caller.send();
    REQUIRE(caller.isServed());
    auto release = ending.holdUp();
    caller.send();
    ending.server->closeIdle();
    release.set_value();
    CHECK(caller.isServed());
}

TEST_CASE("idle connections are closed, a new one when no request has followed")
{
    EndingServer ending;
    Caller kept(*ending.server);
    kept.send();
    REQUIRE(kept.isServed());
    Caller silent(*ending.server);
    std::this_thread::sleep_for(1'100ms);
    ending.server->closeIdle();
    CHECK_FALSE(kept.isServed());
    CHECK_FALSE(silent.isServed());
}

TEST_CASE("connections that callers had established when the port closes are served, not reset")
{
    EndingServer ending;
    auto release = ending.holdUp();
    std::list<Caller> callers;
    for (int n = 0; n < 3; ++n) {
        callers.emplace_back(*ending.server).send();
    }
    ending.server->stopAccepting();
    release.set_value();
    for (auto &caller : callers)
        CHECK(caller.isServed());
}

TEST_CASE("a server has not ended while a request may arrive on one of its connections")
{
    EndingServer ending;
    Caller kept(*ending.server);
    kept.send();
    REQUIRE(kept.isServed());
    Caller silent(*ending.server);
    ending.server->stopAccepting();
    ending.server->closeIdle();
    CHECK_FALSE(kept.isServed());
    CHECK_FALSE(ending.server->hasEnded());
    silent.send();
    CHECK(silent.isServed());
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!ending.server->hasEnded() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(1ms);
    CHECK(ending.server->hasEnded());
}
