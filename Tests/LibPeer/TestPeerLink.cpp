#include "PeerFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

const tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

/// A server and a client in one process.
struct PeerPair
{
    explicit PeerPair(Peer::PeerHandlers handlers = echoHandlers())
        : server(Peer::PeerServer::create(threads.context(), anyPort, std::move(handlers),
                                          serverSettings, serverCounters)
                     .value())
        , client(Peer::PeerClient::create(threads.context(), echoHandlers(), clientSettings,
                                          clientCounters))
    {
        server->start();
    }
    std::string requestKey(const std::string &key, std::chrono::milliseconds timeout = 5s)
    {
        auto body =
            threads.wait(client->request({server->endpoint(), {}}, claimQuery(key), timeout));
        const auto reply = Peer::takeReply<Peer::Wire::ClaimReplyT>(body);
        return {reply.answer.begin(), reply.answer.end()};
    }
    Core::ErrorKind requestFailureKind(std::chrono::milliseconds timeout = 5s)
    {
        try {
            requestKey("key", timeout);
        } catch (const Core::Error &error) {
            return error.kind();
        }
        return Core::ErrorKind::Internal;
    }

    Peer::PeerSettings serverSettings = peerSettings("bb");
    Peer::PeerSettings clientSettings = peerSettings("a");
    Peer::PeerCounters serverCounters;
    Peer::PeerCounters clientCounters;
    PeerThreads threads;
    std::shared_ptr<Peer::PeerServer> server;
    std::shared_ptr<Peer::PeerClient> client;
};

/// Sends raw bytes to a server and waits until it closes the connection.
void sendRawBytes(const tcp::endpoint &endpoint, const std::string &bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    std::array<char, 4096> buf {};
    while (!ec)
        socket.read_some(asio::buffer(buf), ec);
}

} // namespace

TEST_CASE("many requests at once over one link each get their own answer")
{
    PeerPair pair;
    std::vector<std::future<Peer::Body>> answers;
    for (int n = 0; n < 200; ++n) {
        auto work = pair.client->request({pair.server->endpoint(), {}},
                                         claimQuery("key-" + std::to_string(n)), 20s);
        answers.push_back(
            asio::co_spawn(pair.threads.context(), std::move(work), asio::use_future));
    }
    for (int n = 0; n < 200; ++n) {
        auto body = answers[n].get();
        const auto reply = Peer::takeReply<Peer::Wire::ClaimReplyT>(body);
        CHECK(std::string(reply.answer.begin(), reply.answer.end()) == "key-" + std::to_string(n));
    }
    CHECK(pair.clientCounters.connected == 1);
}

TEST_CASE("malformed handshakes are dropped and counted, and siblings are still served")
{
    PeerPair pair;
    sendRawBytes(pair.server->endpoint(), "GET / HTTP/1.1\r\n\r\n");
    sendRawBytes(pair.server->endpoint(), std::string("\0\0\0\x08garbage!", 12));
    CHECK(pair.serverCounters.rejected == 2);
    CHECK(pair.requestKey("key") == "key");
}

TEST_CASE("a peer with another key, environment or version range is refused")
{
    PeerPair pair;
    auto settings = peerSettings("a");
    Peer::PeerCounters counters;
    const int which = GENERATE(0, 1, 2);
    if (which == 0)
        settings.key = "some other key of enough bytes";
    if (which == 1)
        settings.environment = "production";
    if (which == 2)
        settings.versions = {7, 8};
    const auto rejectedClient =
        Peer::PeerClient::create(pair.threads.context(), {}, settings, counters);
    CHECK_THROWS_AS(pair.threads.wait(rejectedClient->request({pair.server->endpoint(), {}},
                                                              claimQuery("k"), 5s)),
                    Core::Error);
    CHECK(counters.incompatible + counters.rejected == 1);
    CHECK(counters.incompatible == (which == 2 ? 1 : 0));
    CHECK(pair.serverCounters.accepted == 0);
}

TEST_CASE("a frozen peer's request times out and the next one makes a new link")
{
    std::atomic<bool> frozen {true};
    Peer::PeerHandlers handlers;
    auto echo = echoHandlers().onRequest;
    handlers.onRequest = [&frozen, echo](Peer::PeerIdentity peer,
                                         Peer::Body request) -> asio::awaitable<Peer::Body> {
        if (frozen) {
            asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return co_await echo(std::move(peer), std::move(request));
    };
    PeerPair pair(handlers);
    CHECK(pair.requestFailureKind(50ms) == Core::ErrorKind::PeerUnavailable);
    CHECK(pair.clientCounters.requestsTimedOut == 1);
    frozen = false;
    CHECK(pair.requestKey("key") == "key");
    CHECK(pair.clientCounters.connected == 2);
}

TEST_CASE("a process with another incarnation at the address receives no request")
{
    PeerPair pair;
    CHECK(pair.requestKey("key") == "key");
    auto work = pair.client->request({pair.server->endpoint(), 77}, claimQuery("k"), 5s);
    try {
        pair.threads.wait(std::move(work));
        FAIL("the request was answered");
    } catch (const Core::Error &error) {
        CHECK(error.kind() == Core::ErrorKind::PeerRejected);
    }
}

TEST_CASE("a refusal names the error, and an unreachable sibling fails at once the second time")
{
    Peer::PeerHandlers handlers;
    handlers.onRequest = [](Peer::PeerIdentity, Peer::Body) -> asio::awaitable<Peer::Body> {
        throw Core::Error(Core::ErrorKind::NotReady, "no configuration");
        co_return Peer::Body();
    };
    PeerPair pair(handlers);
    CHECK(pair.requestFailureKind() == Core::ErrorKind::PeerRejected);
    pair.server->stop();
    CHECK(pair.requestFailureKind() == Core::ErrorKind::PeerUnavailable);
    CHECK(pair.requestFailureKind() == Core::ErrorKind::PeerUnavailable);
}

TEST_CASE("a frame that is modified in transit is rejected")
{
    PeerThreads threads;
    Peer::PeerCounters counters;
    tcp::acceptor acceptor(threads.context(), anyPort);
    tcp::socket left(threads.context());
    left.connect(acceptor.local_endpoint());
    auto right = acceptor.accept();
    Peer::FrameStream reader(std::move(right), counters);
    reader.setKeys({"sending", "receiving"});
    asio::write(left, asio::buffer(std::string("\0\0\0\x14"
                                               "text"
                                               "0123456789abcdef",
                                               24)));
    try {
        threads.wait(reader.read(1'000));
        FAIL("the frame was taken");
    } catch (const Core::Error &error) {
        CHECK(error.kind() == Core::ErrorKind::FrameInvalid);
    }
    asio::write(left, asio::buffer(std::string("\x7f\0\0\0", 4)));
    CHECK_THROWS_AS(threads.wait(reader.read(1'000)), Core::Error);
}

TEST_CASE("an unexpected exception in a message handler does not leave a link that nobody reads")
{
    auto handlers = echoHandlers();
    handlers.onMessage = [](const Peer::PeerIdentity &, const Peer::Body &) {
        throw std::length_error("that nobody expects");
    };
    PeerPair pair(std::move(handlers));
    REQUIRE(pair.requestKey("before") == "before");
    pair.client->send({pair.server->endpoint(), {}}, claimQuery("a message"));
    // The link is closed during this request, or a new one made for it.
    std::string reply = "during";
    try {
        reply = pair.requestKey("during", 3s);
    } catch (const Core::Error &error) {
        CHECK(error.kind() == Core::ErrorKind::PeerUnavailable);
    }
    CHECK(reply == "during");
    CHECK(pair.clientCounters.requestsTimedOut == 0);
    CHECK(pair.requestKey("after") == "after");
}
