#pragma once

#include <LibHttp/ClientExchange.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace Http {

/// How long a client waits for a server.
struct ClientTimeouts
{
    std::chrono::milliseconds connect {1'000};
    /// From the end of the request to the head of the answer.
    std::chrono::milliseconds head {60'000};
    /// Between two pieces of the answer's body.
    std::chrono::milliseconds body {30'000};
};

/// Whether a connection that served an earlier request may be used. A kept connection may be
/// closed by the server just as the request is sent, which leaves it open whether the request ran,
/// so calls that may not be repeated ask for a new one.
enum class ConnectionUse {
    PooledOrNew,
    New,
};

/// Ends a call from outside, whatever it waits for. For the thread that runs the call.
class CallAbort
{
public:
    /// Closes the call's connection; what waits on it fails.
    void abort();
    bool isAborted() const { return m_isAborted; }
    /// Called by the client when a connection takes up the call.
    void bind(std::function<void()> close);

private:
    std::function<void()> m_close;
    bool m_isAborted = false;
};

/// How one request is sent.
struct SendOptions
{
    ConnectionUse use = ConnectionUse::PooledOrNew;
    /// Whether the request may go out again on a new connection when a kept one broke before an
    /// answer. The server may have begun to work on it.
    bool mayRepeat = true;
    /// Ends the call early; may be null.
    std::shared_ptr<CallAbort> abort;
    /// Asked right before the first byte is written; when it says no, the call fails with
    /// UpstreamUnreachable and nothing was sent. May be empty.
    std::function<bool()> maySend;
    /// How long the system keeps unacknowledged bytes before it gives the connection up; zero
    /// leaves the system's default.
    std::chrono::milliseconds unacknowledged {0};
};

/// Sends requests, keeping idle connections for each thread and endpoint.
class Client
{
public:
    Client();
    ~Client();

    /// Sends the request and returns once the head of the answer is there. Throws
    /// Error(UpstreamUnreachable) when nothing was sent, UpstreamFailed or UpstreamTimedOut when
    /// the request was sent and no answer came, and UpstreamAnswerMalformed for an answer that is
    /// not HTTP.
    boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(Endpoint endpoint, Request request, ClientTimeouts timeouts,
         ConnectionUse use = ConnectionUse::PooledOrNew);

    /// The same with more to say about how the request is sent.
    boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(Endpoint endpoint, Request request, ClientTimeouts timeouts, SendOptions options);

    /// open() and the whole body, up to the given size (UpstreamAnswerMalformed beyond it).
    boost::asio::awaitable<Response> fetch(Endpoint endpoint, Request request,
                                           ClientTimeouts timeouts,
                                           std::size_t bodyLimit = DefaultBodyLimit,
                                           ConnectionUse use = ConnectionUse::PooledOrNew);

    static constexpr std::size_t DefaultBodyLimit = 64 * 1024 * 1024;

    struct Shared;

private:
    std::shared_ptr<Shared> m_shared;
};

} // namespace Http
