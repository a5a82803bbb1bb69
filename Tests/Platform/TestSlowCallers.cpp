#include "GatewayFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <sstream>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t EventBytes = 256 * 1024;
constexpr std::size_t Events = 48;
constexpr std::size_t Callers = 4;
constexpr auto PressureContract = "\"pressure\"";
constexpr auto LongTimeout = 30'000ms;

std::string event(std::size_t number)
{
    return "id: " + std::to_string(number)
           + "\ndata: " + std::string(EventBytes, static_cast<char>('a' + number % 20)) + "\n\n";
}

/// A gateway, by default under pressure, and a worker that sends more than the kernel holds.
struct Fixture : GatewayFixture
{
    std::atomic<std::size_t> sent {0};
    bool isCut = false;
    bool isEndless = false;

    explicit Fixture(unsigned memoryMb, milliseconds timeout = LongTimeout,
                     const std::string &contracts = PressureContract)
    {
        addWorker("w-1", "llm").setBehaviour([this](Http::ServerExchange &exchange) {
            return answer(exchange);
        });
        auto routes = defaultRoutes();
        const std::string field = "\"TimeoutMs\":5000,";
        const auto other = "\"TimeoutMs\":" + std::to_string(timeout.count()) + ",";
        for (auto at = routes.find(field); at != std::string::npos; at = routes.find(field, at))
            routes.replace(at, field.size(), other);
        configure(1, routes);
        const auto lines = "PortRange = [0,0]\nContracts = [" + contracts
                           + "]\nLimits = {MemoryMb = " + std::to_string(memoryMb) + "}\n";
        awaitPorts(spawnGateway(writeSettings({}, lines)));
        REQUIRE(eventually([this] { return readiness() == 200; }));
    }

    asio::awaitable<bool> answer(Http::ServerExchange &exchange)
    {
        auto headers = WorkerStandIn::answerHeaders(exchange.request());
        headers.add("Content-Type", "text/event-stream");
        co_await exchange.startStream(200, std::move(headers));
        for (std::size_t n = 1; isEndless || n <= Events; ++n)
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
        // What is left unread has to wait at the gateway.
        m_socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
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
    /// Reads slowly until the answer ends, and returns how long that takes; at most the limit.
    milliseconds timeToEnd(milliseconds limit)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto elapsed = [&] {
            return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now()
                                                            - begin);
        };
        std::array<char, ReceiveBufferBytes> chunk {};
        boost::system::error_code ec;
        while (!ec && elapsed() < limit) {
            std::this_thread::sleep_for(50ms);
            m_socket.read_some(asio::buffer(chunk), ec);
        }
        return elapsed();
    }

private:
    static constexpr int ReceiveBufferBytes = 32 * 1024;

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

TEST_CASE("a stream that its caller reads too slowly ends at the timeout of its route")
{
    constexpr auto Timeout = 2'000ms;
    // The bound for the end of a request after its route's timeout.
    constexpr auto Slack = 500ms;
    const std::string contracts = GENERATE(as<std::string>(), "", PressureContract);
    CAPTURE(contracts);
    Fixture fixture(512, Timeout, contracts);
    fixture.isEndless = true;
    SlowCaller caller(fixture.callers(), "/streams/a", "id");
    const auto time = caller.timeToEnd(4 * Timeout).count();
    CHECK(time > Timeout.count() - Slack.count());
    CHECK(time < (Timeout + Slack).count());
}
