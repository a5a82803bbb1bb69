#pragma once

#include <LibHttp/ClientExchange.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace Http {

class ConnectionPool;

/// The timeouts of a client's request.
struct ClientTimeouts
{
    std::chrono::milliseconds connect {1'000};
    /// For sending the request and receiving the response's status line and headers.
    std::chrono::milliseconds head {60'000};
    /// Between two reads of the response body.
    std::chrono::milliseconds body {30'000};
};

/// Whether a pooled connection may be used. The server may close an idle connection just as the
/// request is sent, which leaves unknown whether the request was executed, so calls that must not
/// be repeated use a new connection.
enum class ConnectionUse {
    PooledOrNew,
    New,
};

/// Aborts a call at any stage. To be used on the thread that runs the call.
class CallAbort
{
public:
    /// Closes the call's connection; pending operations on it fail.
    void abort();
    bool isAborted() const { return m_isAborted; }
    /// Called by the client when the call is assigned to a connection.
    void bind(std::function<void()> close);

private:
    std::function<void()> m_close;
    bool m_isAborted = false;
};

/// How one request is sent.
struct SendOptions
{
    ConnectionUse use = ConnectionUse::PooledOrNew;
    /// Whether the request may be sent again on a new connection when a pooled one fails before a
    /// response. The server may have started to process it.
    bool mayRepeat = true;
    /// Aborts the call; may be null.
    std::shared_ptr<CallAbort> abort;
    /// Called right before the first byte is written; when it returns false, the call fails with
    /// UpstreamUnreachable and nothing is sent. May be empty.
    std::function<bool()> maySend;
    /// Called after that, to set what depends on the time of sending. May be empty.
    std::function<void(Request &)> onSend;
    /// Sent in place of the request's own body, without a copy. Must exist until open() returns;
    /// may be null.
    const std::string *body = nullptr;
    /// The TCP user timeout: how long sent bytes may stay unacknowledged before the connection is
    /// closed. An idle connection is probed, and closed when the probes stay unacknowledged about
    /// as long. Zero uses the system's default.
    std::chrono::milliseconds unacknowledged {0};
};

/// Sends requests and pools idle connections per thread and endpoint.
class Client
{
public:
    Client();
    ~Client();

    /// Sends the request and returns once the response headers have arrived. Throws
    /// Error(UpstreamUnreachable) when nothing was sent, UpstreamFailed or UpstreamTimedOut when
    /// the request may have been sent and no response arrived, and UpstreamAnswerMalformed for a
    /// response that is not valid HTTP.
    boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(Endpoint endpoint, Request request, ClientTimeouts timeouts,
         ConnectionUse use = ConnectionUse::PooledOrNew);

    /// Overload with further options.
    boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(Endpoint endpoint, Request request, ClientTimeouts timeouts, SendOptions options);

    /// Sends the request and reads the whole response; UpstreamAnswerMalformed above the limit.
    /// When there is no response in time, the idle connections to the endpoint are closed as well.
    boost::asio::awaitable<Response> fetch(Endpoint endpoint, Request request,
                                           ClientTimeouts timeouts,
                                           std::size_t bodyLimit = DefaultBodyLimit,
                                           ConnectionUse use = ConnectionUse::PooledOrNew);

    /// Overload with further options.
    boost::asio::awaitable<Response> fetch(Endpoint endpoint, Request request,
                                           ClientTimeouts timeouts, SendOptions options,
                                           std::size_t bodyLimit = DefaultBodyLimit);

    static constexpr std::size_t DefaultBodyLimit = 64 * 1024 * 1024;

    /// Closes half of the idle connections, to free descriptors. Safe from any thread.
    void closeIdleHalf();
    /// Closes the idle connections to the endpoint, because they may have gone silent. Safe from
    /// any thread.
    void closeIdle(const Endpoint &endpoint);

private:
    boost::asio::awaitable<Response> fetchOnce(Endpoint endpoint, Request request,
                                               ClientTimeouts timeouts, SendOptions options,
                                               std::size_t bodyLimit);

    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace Http
