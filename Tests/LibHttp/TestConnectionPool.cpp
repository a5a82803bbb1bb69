#include "../StandIns/RawServer.h"

#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using StandIns::RawConnection;
using StandIns::RawServer;

namespace {

constexpr std::size_t Count = 20;

std::size_t openDescriptors()
{
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {}));
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    return condition();
}

/// Sends several requests at once, so that each needs a connection of its own.
void fetchAtOnce(Core::IoThreads &threads, Http::Client &client, const Http::Endpoint &server)
{
    std::vector<std::future<Http::Response>> answers;
    for (std::size_t n = 0; n < Count; ++n)
        answers.push_back(asio::co_spawn(
            threads.at(0), client.fetch(server, Http::Request("GET", "/"), {}), asio::use_future));
    for (auto &answer : answers)
        CHECK(answer.get().status == 200);
}

/// Answers after a pause and keeps the connection.
RawServer::Script keptAnswers(const std::string &fields)
{
    return [fields](RawConnection &connection, const Http::Request &) {
        std::this_thread::sleep_for(50ms);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + fields + "\r\nok");
        connection.keep();
    };
}

} // namespace

TEST_CASE("idle connections to a server that has left do not keep descriptors")
{
    Core::IoThreads threads(1);
    Http::Client client;
    {
        // The thread opens descriptors of its own with its first connections.
        RawServer server(keptAnswers("Connection: close\r\n"));
        fetchAtOnce(threads, client, server.endpoint());
    }
    const auto before = openDescriptors();
    {
        RawServer server(keptAnswers({}));
        fetchAtOnce(threads, client, server.endpoint());
        CHECK(openDescriptors() >= before + Count);
    }
    CHECK(eventually([&] { return openDescriptors() <= before; }));
    threads.stop();
}

TEST_CASE("idle connections whose time is over are closed without another request")
{
    Core::IoThreads threads(1);
    Http::Client client;
    RawServer server(keptAnswers("Keep-Alive: timeout=2\r\n"));
    fetchAtOnce(threads, client, server.endpoint());
    CHECK(server.openConnections() == Count);
    CHECK(eventually([&] { return server.openConnections() == 0; }));
    threads.stop();
}

TEST_CASE("a full descriptor table is relieved of idle connections, so that new ones are served")
{
    Core::IoThreads threads(1);
    Http::Client client;
    const auto server = Http::Server::create(
        threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
        [](Http::ServerExchange &exchange) -> asio::awaitable<void> {
            co_await exchange.respond({200, {}, "served"});
        },
        [&client] { client.closeIdleHalf(); });
    RawServer upstream(keptAnswers({}));
    fetchAtOnce(threads, client, upstream.endpoint());
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    rlimit original {};
    ::getrlimit(RLIMIT_NOFILE, &original);
    const rlimit lowered {openDescriptors() + 100, original.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &lowered);
    std::vector<int> fillers;
    for (int fd = 0; (fd = ::open("/dev/null", O_RDONLY)) >= 0;)
        fillers.push_back(fd);
    socket.connect(server.value()->localEndpoint());
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::string answer;
    auto received = std::async(std::launch::async, [&] {
        boost::system::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(answer), "served", ec);
    });
    CHECK(received.wait_for(5s) == std::future_status::ready);
    std::for_each(fillers.begin(), fillers.end(), ::close);
    ::setrlimit(RLIMIT_NOFILE, &original);
    received.get();
    CHECK(answer.find("served") != std::string::npos);
    threads.stop();
}
