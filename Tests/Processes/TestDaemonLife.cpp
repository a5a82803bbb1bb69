#include <Processes/Process.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>

#include <csignal>

namespace asio = boost::asio;
using Processes::Process;

namespace {

std::vector<std::string> arguments(const std::string &listen = "127.0.0.1:0",
                                   const std::string &peer = "127.0.0.1:0")
{
    // Nothing answers at the platform's address.
    return {"--listen",         listen, "--admin",          "127.0.0.1:0",
            "--peer",           peer,   "--platform",       "127.0.0.1:9",
            "--drain-grace-ms", "100",  "--drain-limit-ms", "200"};
}

struct PeerKey
{
    PeerKey() { ::setenv("JUJUBE_PEER_KEY", "a key for tests only", 1); }
};

} // namespace

TEST_CASE("a signal after the daemon's first line is handled, not taken by its default action")
{
    const PeerKey key;
    const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
    for (int n = 0; n < 3; ++n) {
        Process daemon("jujubesaddled", arguments());
        daemon.awaitLine("process_started");
        daemon.signal(number);
        if (number == SIGHUP) {
            CHECK_NOTHROW(daemon.awaitEndpoint("\"port\":\"admin\""));
            daemon.signal(SIGTERM);
        }
        CHECK(daemon.wait() == 0);
    }
}

TEST_CASE("the end of the reader of its log does not end the daemon")
{
    const PeerKey key;
    Process daemon("jujubesaddled", arguments());
    daemon.awaitEndpoint("\"port\":\"admin\"");
    daemon.closeOutput();
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
}

TEST_CASE("a daemon whose ports are held by another process starts when they are free")
{
    const PeerKey key;
    asio::io_context context;
    asio::ip::tcp::acceptor holder(context, {asio::ip::address_v4::loopback(), 0});
    // The daemon must not inherit the port.
    ::fcntl(holder.native_handle(), F_SETFD, FD_CLOEXEC);
    const auto address = Http::formatEndpoint(holder.local_endpoint());
    const bool isPeerPort = GENERATE(false, true);
    Process daemon("jujubesaddled", isPeerPort ? arguments("127.0.0.1:0", address)
                                               : arguments(address, "127.0.0.1:0"));
    CHECK_NOTHROW(daemon.awaitLine("port_unavailable"));
    holder.close();
    CHECK_NOTHROW(daemon.awaitEndpoint("\"port\":\"admin\""));
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
}
