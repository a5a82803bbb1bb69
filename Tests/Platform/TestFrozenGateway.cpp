#include "GatewayFixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <poll.h>

#include <csignal>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;

namespace {

using Socket = asio::ip::tcp::socket;

// Longer than a lease, and than until the connection is tried again.
constexpr auto FrozenTime = 3'500ms;

constexpr int AcceptTimeoutMs = 30'000;
constexpr auto Report =
    R"({"Stage":"colocated","Models":[{"Name":"model","Version":1}],"Busy":false,"Seq":0})";

constexpr auto Routes =
    R"([{"Name":"calls","Host":"a.example","PathPrefix":"/calls/","Kind":"non_idempotent",)"
    R"("TimeoutMs":10000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1}])";

/// A server whose connections are established only while no connection waits to be accepted.
class SlowlyConnectingServer
{
public:
    SlowlyConnectingServer()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    {
        m_acceptor.listen(0);
    }

    std::string entry(const std::string &service) const
    {
        return R"({"Service":")" + service + R"(","Address":")"
               + Http::formatEndpoint(m_acceptor.local_endpoint())
               + R"(","Zone":"a","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,)"
                 R"("Models":[{"Name":"model","Version":1}],"Seq":1})";
    }

    /// Accepts the next connection. Throws when there is none in time.
    Socket accept()
    {
        pollfd ready {m_acceptor.native_handle(), POLLIN, 0};
        if (::poll(&ready, 1, AcceptTimeoutMs) != 1)
            throw std::runtime_error("no connection arrived");
        return m_acceptor.accept();
    }

    /// Opens a connection, so that no other is established until it has been accepted.
    Socket occupy()
    {
        Socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint());
        return socket;
    }

    /// Whether a client waits for its connection to be established.
    bool isAwaited() const
    {
        constexpr std::string_view SynSent = "02";
        std::ifstream connections("/proc/net/tcp");
        std::string line;
        while (std::getline(connections, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            fields >> number >> local >> remote >> state;
            const auto port = remote.substr(remote.find(':') + 1);
            if (state == SynSent
                && std::stoi(port, nullptr, 16) == m_acceptor.local_endpoint().port())
                return true;
        }
        return false;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

/// Reads a request; empty when the client closes the connection without one.
std::string readRequest(Socket &socket)
{
    std::string bytes;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
    return ec ? "" : bytes;
}

void respond(Socket &socket, const std::string &status, const std::string &body)
{
    asio::write(socket,
                asio::buffer("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body));
}

/// Answers queries of the engine's state until an order arrives, and returns the order.
boost::json::object awaitOrder(SlowlyConnectingServer &engine)
{
    for (;;) {
        auto socket = engine.accept();
        auto request = readRequest(socket);
        if (request.starts_with("GET /report "))
            respond(socket, "200 OK", Report);
        if (!request.starts_with("POST /order "))
            continue;
        boost::system::error_code ec;
        if (request.back() != '}')
            asio::read_until(socket, asio::dynamic_buffer(request), '}', ec);
        respond(socket, "202 Accepted", "");
        return boost::json::parse(request.substr(request.find('{'))).as_object();
    }
}

std::chrono::milliseconds handedTime(const std::string &request)
{
    constexpr std::string_view Field = "X-Jujubesaddle-Deadline-Ms: ";
    return std::chrono::milliseconds(std::stol(request.substr(request.find(Field) + Field.size())));
}

} // namespace

TEST_CASE("an order is not sent under a lease that ended while its connection was made")
{
    GatewayFixture fixture;
    SlowlyConnectingServer engine;
    fixture.store.put("keyed.servers", "w-1", engine.entry("llm"));
    fixture.configure(1);
    auto &gateway = fixture.startGateway();
    fixture.store.put("keyed.op", "version/model", R"({"Model":"model","Version":2})");
    auto query = engine.accept();
    REQUIRE(readRequest(query).starts_with("GET /report "));
    const auto occupied = engine.occupy();
    respond(query, "200 OK", Report);
    REQUIRE(GatewayFixture::eventually([&] { return engine.isAwaited(); }));
    gateway.signal(SIGSTOP);
    const auto records = fixture.store.count("journal");
    engine.accept();
    std::this_thread::sleep_for(FrozenTime);
    gateway.signal(SIGCONT);
    // A token is the offset of the record of its lease plus 1.
    const auto order = awaitOrder(engine);
    CHECK(order.at("Fence").to_number<std::size_t>() > records);
}

TEST_CASE("a request is handed the time that is left when its connection has been made")
{
    const auto deadline = GENERATE(8'000ms, 2'000ms);
    GatewayFixture fixture;
    SlowlyConnectingServer worker;
    fixture.store.put("keyed.servers", "w-1", worker.entry("app"));
    fixture.configure(1, Routes);
    auto &gateway = fixture.startGateway();
    const auto occupied = worker.occupy();
    auto request = GatewayFixture::request("/calls/a", "id-1", "GET");
    request.headers.remove("X-Jujubesaddle-Deadline-Ms");
    request.headers.add("X-Jujubesaddle-Deadline-Ms", std::to_string(deadline.count()));
    auto answer =
        std::async(std::launch::async, [&] { return fixture.send(std::move(request)).status; });
    REQUIRE(GatewayFixture::eventually([&] { return worker.isAwaited(); }));
    gateway.signal(SIGSTOP);
    worker.accept();
    std::this_thread::sleep_for(FrozenTime);
    gateway.signal(SIGCONT);
    auto socket = worker.accept();
    const auto received = readRequest(socket);
    // Whether the connection counts as made in time depends on the event that is handled first.
    if (!received.empty()) {
        CHECK(handedTime(received) <= deadline - FrozenTime);
        respond(socket, "200 OK", "not sealed");
    }
    CHECK(answer.get() == (received.empty() ? 503 : 502));
}
