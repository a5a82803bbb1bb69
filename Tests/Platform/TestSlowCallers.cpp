#include "GatewayFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <list>
#include <sstream>

namespace asio = boost::asio;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

constexpr std::size_t EventBytes = 256 * 1024;
constexpr std::size_t Events = 48;
constexpr std::size_t Callers = 4;

std::string event(std::size_t number)
{
    return "id: " + std::to_string(number)
           + "\ndata: " + std::string(EventBytes, static_cast<char>('a' + number % 20)) + "\n\n";
}

/// A gateway under pressure, and a worker that sends more than the kernel holds.
struct Fixture : GatewayFixture
{
    std::atomic<std::size_t> sent {0};
    bool isCut = false;

    explicit Fixture(unsigned memoryMb)
    {
        addWorker("w-1", "llm").setBehaviour([this](Http::ServerExchange &exchange) {
            return answer(exchange);
        });
        // The time of the requests is no part of the cases.
        auto routes = defaultRoutes();
        const std::string timeout = "\"TimeoutMs\":5000,";
        for (auto at = routes.find(timeout); at != std::string::npos; at = routes.find(timeout, at))
            routes.replace(at, timeout.size(), "\"TimeoutMs\":30000,");
        configure(1, routes);
        const auto lines = "PortRange = [0,0]\nContracts = [\"pressure\"]\nLimits = {MemoryMb = "
                           + std::to_string(memoryMb) + "}\n";
        awaitPorts(spawnGateway(writeSettings({}, lines)));
        REQUIRE(eventually([this] { return readiness() == 200; }));
    }

    asio::awaitable<bool> answer(Http::ServerExchange &exchange)
    {
        auto headers = WorkerStandIn::answerHeaders(exchange.request());
        headers.add("Content-Type", "text/event-stream");
        co_await exchange.startStream(200, std::move(headers));
        for (std::size_t n = 1; n <= Events; ++n)
            co_await exchange.write(event(n));
        ++sent;
        if (isCut)
            throw boost::system::system_error(asio::error::connection_reset);
        co_await exchange.finishStream();
        co_return true;
    }
};

/// A caller that reads its answer only when it is told to.
class SlowCaller
{
public:
    SlowCaller(const Http::Endpoint &gateway, const std::string &target, const std::string &id)
    {
        m_socket.open(asio::ip::tcp::v4());
        m_socket.connect(gateway);
        auto request = GatewayFixture::streamRequest(target, id);
        request.headers.remove("X-Jujubesaddle-Deadline-Ms");
        request.headers.add("X-Jujubesaddle-Deadline-Ms", "30000");
        std::ostringstream text;
        text << "POST " << target << " HTTP/1.1\r\nContent-Length: " << request.body.size()
             << "\r\nConnection: close\r\n";
        for (const auto &field : request.headers)
            text << field.name << ": " << field.value << "\r\n";
        text << "\r\n" << request.body;
        asio::write(m_socket, asio::buffer(text.str()));
    }
    std::string readAll()
    {
        std::string answer;
        boost::system::error_code ec;
        asio::read(m_socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket {m_context};
};

/// Returns how many whole events the answer has, in their order.
std::size_t eventsIn(const std::string &answer)
{
    std::size_t count = 0;
    std::size_t at = 0;
    for (;; ++count) {
        at = answer.find("id: " + std::to_string(count + 1) + "\n", at);
        if (at == std::string::npos)
            return count;
    }
}

} // namespace

TEST_CASE("a worker sends its streams while callers read nothing, and they arrive whole")
{
    Fixture fixture(512);
    std::list<SlowCaller> callers;
    for (std::size_t n = 0; n < Callers; ++n)
        callers.emplace_back(fixture.callers(), "/streams/a", "id-" + std::to_string(n));
    CHECK(GatewayFixture::eventually([&] { return fixture.sent == Callers; }));
    for (auto &caller : callers) {
        const auto answer = caller.readAll();
        CHECK(eventsIn(answer) == Events);
        CHECK(answer.ends_with("\r\n0\r\n\r\n"));
        CHECK(answer.size() > Events * EventBytes);
    }
}

TEST_CASE("a stream that its worker has cut does not look complete to a caller that reads late")
{
    Fixture fixture(512);
    fixture.isCut = true;
    SlowCaller caller(fixture.callers(), "/streams/once/a", "id");
    CHECK(GatewayFixture::eventually([&] { return fixture.sent == 1; }));
    const auto answer = caller.readAll();
    CHECK(eventsIn(answer) > 0);
    CHECK_FALSE(answer.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("without memory for them, streams still arrive whole at the pace of their callers")
{
    Fixture fixture(64);
    std::list<SlowCaller> callers;
    for (std::size_t n = 0; n < Callers; ++n)
        callers.emplace_back(fixture.callers(), "/streams/a", "id-" + std::to_string(n));
    for (auto &caller : callers)
        CHECK(eventsIn(caller.readAll()) == Events);
}
