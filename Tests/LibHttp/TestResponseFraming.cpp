#include "../StandIns/RawServer.h"
#include "../StandIns/ReceivedAnswer.h"

#include <LibCore/IoThreads.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using StandIns::RawConnection;
using StandIns::RawServer;
using StandIns::ReceivedAnswer;

namespace {

/// A server that answers each request with the same bytes and keeps the connection, and a client
/// that waits a short time.
struct Fixture
{
    Core::IoThreads threads {1};
    Http::Client client;
    RawServer server;

    explicit Fixture(std::string bytes)
        : server([bytes = std::move(bytes)](RawConnection &connection, const auto &) {
            connection.send(bytes);
            connection.keep();
        })
    { }
    ~Fixture() { threads.stop(); }

    Http::Response fetch()
    {
        Http::ClientTimeouts timeouts;
        timeouts.body = 300ms;
        return asio::co_spawn(threads.next(),
                              client.fetch(server.endpoint(), Http::Request("POST", "/"), timeouts),
                              asio::use_future)
            .get();
    }

    std::optional<Core::ErrorKind> failure()
    {
        try {
            fetch();
        } catch (const Core::Error &error) {
            return error.kind();
        }
        return std::nullopt;
    }
};

std::string answer(const std::string &fields, const std::string &body, char version = '1')
{
    return std::string("HTTP/1.") + version + " 200 OK\r\n" + fields + "\r\n" + body;
}

constexpr auto ChunkedBody = "4\r\nbody\r\n0\r\n\r\n";

} // namespace

// Guards against a body that is passed on without the coding that its server applied, or whose end
// is guessed.
TEST_CASE("an answer with a transfer coding other than chunked is refused, not read otherwise")
{
    const auto bytes = GENERATE(
        answer("Transfer-Encoding: gzip, chunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: chunked, chunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", ChunkedBody),
        answer("Transfer-Encoding: chunked, gzip\r\n", ChunkedBody),
        answer("Transfer-Encoding: xchunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: gzip\r\n", "body"), answer("Transfer-Encoding:\r\n", "body"),
        answer("Transfer-Encoding: chunked;q=1\r\n", ChunkedBody),
        answer("Transfer-Encoding: x\r\n chunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n", "body"),
        answer("Content-Length: 4\r\nTransfer-Encoding: xchunked\r\n", "body"),
        answer("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", ChunkedBody),
        answer("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", ChunkedBody),
        answer("Transfer-Encoding: chunked\r\n", ChunkedBody, '0'));
    INFO(bytes);
    Fixture fixture(bytes);
    CHECK(fixture.failure() == Core::ErrorKind::UpstreamAnswerMalformed);
    // Its rest is not taken for the answer to another request.
    CHECK(fixture.failure() == Core::ErrorKind::UpstreamAnswerMalformed);
    CHECK(fixture.server.requests().size() == 2);
}

TEST_CASE("an answer in chunks or with a length is read whole, and its connection is kept")
{
    Fixture fixture(GENERATE(answer("Transfer-Encoding: chunked\r\n", ChunkedBody),
                             answer("transfer-encoding: Chunked\r\n", ChunkedBody),
                             answer("Transfer-Encoding:\r\n chunked\r\n", ChunkedBody),
                             answer("Content-Length: 4\r\n", "body"),
                             answer("Content-Length:\r\n 4\r\n", "body")));
    CHECK(fixture.fetch().body == "body");
    CHECK(fixture.fetch().body == "body");
    CHECK(fixture.server.openConnections() == 1);
}

// Guards every reader of answers: workers', engines' reports, the store's and siblings' pages.
TEST_CASE("an answer that ends within its head, or before its end, fails and is never short")
{
    const std::string fields =
        GENERATE(as<std::string>(), "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    const bool isReset = GENERATE(false, true);
    const auto whole = answer(fields, fields.front() == 'C' ? "body" : ChunkedBody);
    Core::IoThreads threads {1};
    Http::Client client;
    std::size_t size = 0;
    RawServer server([&](RawConnection &connection, const auto &) {
        connection.send(whole.substr(0, size));
        if (isReset)
            connection.reset();
    });
    for (; size < whole.size(); ++size) {
        const auto received =
            asio::co_spawn(threads.next(),
                           StandIns::receiveAnswer(client, server.endpoint(), {"GET", "/"}),
                           asio::use_future)
                .get();
        INFO("after " << size << " of " << whole.size() << " bytes");
        CHECK(received.failure);
    }
    threads.stop();
}
