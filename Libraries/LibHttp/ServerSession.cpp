#include <LibCore/EventLog.h>
#include <LibHttp/MessageFraming.h>
#include <LibHttp/RequestHeadReader.h>
#include <LibHttp/ServerSession.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using StringResponse = http::response<http::string_body>;

constexpr std::size_t ReadBytes = 16 * 1024;

/// What a request states before its body. The default refers to a request that could not be read.
struct RequestHead
{
    RequestHead() = default;
    /// To be called before the body is read: the parser adds the fields of a trailer to the others.
    explicit RequestHead(const RequestParser::value_type &message)
        : request(std::string(message.method_string()), std::string(message.target()))
        , version(message.version())
        , keepAlive(message.keep_alive())
    {
        for (const auto &field : message)
            request.headers.add(field.name_string(), field.value());
    }

    Request request;
    unsigned version = 11;
    bool keepAlive = false;
};

/// Sends responses over a connection. Shared with the wait for the caller's disconnect, which may
/// complete after the exchange has ended.
class SessionExchange final : public ServerExchange,
                              public std::enable_shared_from_this<SessionExchange>
{
public:
    SessionExchange(beast::tcp_stream &stream, const Server::Shared &shared,
                    const ServerLimits &limits, RequestHead &&head, std::string &&body = {},
                    BodyBudget::Share &&bodyShare = {})
        : m_stream(stream)
        , m_shared(shared)
        , m_limits(limits)
        , m_hasBody(head.request.method != "HEAD")
        , m_keepAlive(head.keepAlive)
        , m_version(head.version)
    {
        m_request = std::move(head.request);
        m_request.body = std::move(body);
        m_bodyShare = std::move(bodyShare);
    }

    asio::awaitable<void> respond(Response response) override
    {
        m_started = true;
        noteStatus(response.status);
        StringResponse message(http::status(response.status), m_version, std::move(response.body));
        fillHead(message, response.headers);
        m_stream.expires_after(m_limits.writeTime);
        if (m_hasBody) {
            message.prepare_payload();
            co_await http::async_write(m_stream, message, asio::use_awaitable);
        } else {
            // The length that the answer to GET would have is unknown if there is no body.
            if (!message.body().empty())
                message.content_length(message.body().size());
            http::response_serializer<http::string_body> serializer(message);
            co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
        }
        m_finished = true;
    }

    asio::awaitable<void> startStream(unsigned status, Headers headers) override
    {
        m_started = true;
        noteStatus(status);
        http::response<http::empty_body> message(http::status(status), m_version);
        fillHead(message, headers);
        message.chunked(m_version >= 11 && m_hasBody);
        if (m_version < 11)
            m_keepAlive = false;
        http::response_serializer<http::empty_body> serializer(message);
        m_stream.expires_after(m_limits.writeTime);
        co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
    }

    asio::awaitable<void> write(std::string chunk) override
    {
        if (chunk.empty() || !m_hasBody)
            co_return;
        m_stream.expires_after(m_limits.writeTime);
        if (m_version < 11)
            co_await asio::async_write(m_stream, asio::buffer(chunk), asio::use_awaitable);
        else
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)),
                                       asio::use_awaitable);
    }

    asio::awaitable<void> finishStream() override
    {
        m_stream.expires_after(m_limits.writeTime);
        if (m_version >= 11 && m_hasBody)
            co_await asio::async_write(m_stream, http::make_chunk_last(), asio::use_awaitable);
        m_finished = true;
    }

    void drop() override
    {
        // A reset, because an orderly close may make the response look complete.
        boost::system::error_code ec;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        m_stream.close();
    }

    /// Whether another request may follow on this connection.
    bool mayContinue() const { return m_finished && m_keepAlive && !m_callerGone; }

    /// Whether a stream was cut whose end is only marked by the end of the connection.
    bool isCutWithoutMark() const
    {
        return hasStarted() && !m_finished && m_hasBody && m_version < 11;
    }

    /// Detects that the caller closes its connection while the handler is running.
    void watchForClose()
    {
        m_stream.socket().async_wait(
            asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto &ec) {
                if (ec || self->m_done)
                    return;
                char byte = 0;
                const auto n = ::recv(self->m_stream.socket().native_handle(), &byte, 1,
                                      MSG_PEEK | MSG_DONTWAIT);
                if (n > 0)
                    return;
                if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    // Woken up by bytes that were already read; the connection is not closed yet.
                    self->watchForClose();
                    return;
                }
                self->noteCallerGone();
            });
    }

    /// Stops the wait for the caller's disconnect. The stream may be destroyed afterwards.
    void endWatch()
    {
        m_done = true;
        boost::system::error_code ec;
        m_stream.socket().cancel(ec);
    }

private:
    template <typename Message>
    void fillHead(Message &message, const Headers &headers)
    {
        if (m_shared.draining || m_shared.stopping)
            m_keepAlive = false;
        for (const auto &field : headers)
            message.insert(field.name, field.value);
        message.keep_alive(m_keepAlive);
    }

    void noteStatus(unsigned status)
    {
        if (status == static_cast<unsigned>(http::status::no_content)
            || status == static_cast<unsigned>(http::status::not_modified))
            m_hasBody = false;
    }

    beast::tcp_stream &m_stream;
    const Server::Shared &m_shared;
    const ServerLimits &m_limits;
    /// False if no body follows the head of the response, whatever its fields say.
    bool m_hasBody;
    bool m_keepAlive;
    unsigned m_version;
    bool m_finished = false;
    bool m_done = false;
};

/// Stops the wait for the caller's disconnect before the connection is destroyed.
class WatchGuard
{
public:
    explicit WatchGuard(SessionExchange &exchange)
        : m_exchange(exchange)
    {
        m_exchange.watchForClose();
    }
    ~WatchGuard() { m_exchange.endWatch(); }
    WatchGuard(const WatchGuard &) = delete;
    WatchGuard &operator=(const WatchGuard &) = delete;

private:
    SessionExchange &m_exchange;
};

/// Counts a running exchange during the lifetime of the guard.
class ActiveGuard
{
public:
    explicit ActiveGuard(Server::Shared &shared)
        : m_shared(shared)
    {
        ++m_shared.activeExchanges;
    }
    ~ActiveGuard() { --m_shared.activeExchanges; }
    ActiveGuard(const ActiveGuard &) = delete;
    ActiveGuard &operator=(const ActiveGuard &) = delete;

private:
    Server::Shared &m_shared;
};

/// Cancels a read that takes too long. The stream's own timeout would close the connection, so that
/// no error response could be sent.
class ReadDeadline
{
public:
    ReadDeadline(beast::tcp_stream &stream, std::chrono::milliseconds limit)
        : m_timer(stream.get_executor(), limit)
        , m_state(std::make_shared<State>())
    {
        m_timer.async_wait([&stream, state = m_state](const auto &ec) {
            if (ec || state->ended)
                return;
            state->expired = true;
            stream.cancel();
        });
    }
    ~ReadDeadline() { m_state->ended = true; }
    ReadDeadline(const ReadDeadline &) = delete;
    ReadDeadline &operator=(const ReadDeadline &) = delete;

    bool hasExpired() const { return m_state->expired; }

private:
    struct State
    {
        bool ended = false;
        bool expired = false;
    };

    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
};

/// Reads the body of a request whose head was read. Fails with not_enough_memory when the body
/// finds no room.
asio::awaitable<boost::system::error_code> readBody(beast::tcp_stream &stream,
                                                    beast::flat_buffer &buf, RequestParser &parser,
                                                    BodyBudget::Share &share)
{
    // The parser allocates a body of known length at once.
    if (!share.growTo(parser.content_length().value_or(0)))
        co_return asio::error::no_memory;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> go(http::status::continue_, parser.get().version());
        co_await http::async_write(stream, go, asio::use_awaitable);
    }
    boost::system::error_code ec;
    while (!ec && !parser.is_done()) {
        co_await http::async_read_some(stream, buf, parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (!share.growTo(parser.get().body().capacity()))
            co_return asio::error::no_memory;
    }
    co_return ec;
}

Core::Error readError(const boost::system::error_code &ec)
{
    if (ec == http::error::header_limit)
        return Core::Error(Core::ErrorKind::HeadersTooLarge);
    if (ec == http::error::body_limit)
        return Core::Error(Core::ErrorKind::BodyTooLarge);
    if (ec == asio::error::no_memory)
        return Core::Error(Core::ErrorKind::Overloaded, "the memory for bodies is full");
    return Core::Error(Core::ErrorKind::MalformedRequest, ec.message());
}

bool isCallerGone(const boost::system::error_code &ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::connection_reset
           || ec == asio::error::operation_aborted;
}

asio::awaitable<void> refuse(beast::tcp_stream &stream, const Server::Shared &shared,
                             const ServerLimits &limits, const Core::Error &error)
{
    SessionExchange exchange(stream, shared, limits, {});
    co_await exchange.respond(errorResponse(error));
}

asio::awaitable<void> runHandler(SessionExchange &exchange, Server::Shared &shared)
{
    std::optional<Core::Error> failure;
    try {
        co_await shared.handler(exchange);
    } catch (const Core::Error &error) {
        failure = error;
    } catch (const boost::system::system_error &) {
        // The caller's connection was lost, so no response can be sent.
        co_return;
    } catch (const std::exception &fault) {
        Core::logEvent(Core::EventId::InternalFault, {{"what", fault.what()}});
        failure = Core::Error(Core::ErrorKind::Internal);
    }
    if (failure && !exchange.hasStarted())
        co_await exchange.respond(errorResponse(*failure));
}

/// Waits for the first byte up to the idle limit, to tell a slow request from an idle caller.
asio::awaitable<bool> awaitFirstByte(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                     const ServerLimits &limits, IdleConnections &idle,
                                     bool hasServed)
{
    if (buf.size() > 0)
        co_return true;
    const IdleConnections::Entry entry(idle, stream, hasServed);
    stream.expires_after(limits.idleTime);
    boost::system::error_code ec;
    const auto n = co_await stream.async_read_some(buf.prepare(ReadBytes),
                                                   asio::redirect_error(asio::use_awaitable, ec));
    buf.commit(n);
    co_return !ec;
}

/// Discards what the caller still sends after a refusal, within the limits of one request. Closing
/// a connection with unread bytes resets it, and the caller might not receive the response.
asio::awaitable<void> discardRest(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                  const ServerLimits &limits)
{
    boost::system::error_code ec;
    stream.socket().shutdown(asio::socket_base::shutdown_send, ec);
    stream.expires_after(limits.requestTime);
    std::size_t discarded = 0;
    while (!ec && discarded <= limits.bodyBytes) {
        buf.clear();
        discarded += co_await stream.async_read_some(buf.prepare(ReadBytes),
                                                     asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// What follows on a connection after a request.
enum class NextStep {
    Continue,
    Close,
    /// The request was refused before it was read completely.
    DiscardRest,
};

asio::awaitable<NextStep> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                   Server::Shared &shared, bool hasServed)
{
    const auto idleLimits = shared.limits.share();
    // A named result, because GCC 12 miscompiles a negated co_await in a condition.
    const bool hasBegun = co_await awaitFirstByte(stream, buf, *idleLimits, shared.idle, hasServed);
    if (!hasBegun || shared.abandoned)
        co_return NextStep::Close;
    // They may have changed while the connection was idle.
    const auto limits = shared.limits.share();
    // The parser has no limit of its own for chunk extensions and trailers.
    buf.max_size(std::max(buf.size(), limits->headerBytes + ReadBytes));
    // A request counts as active from its first byte, so that a graceful shutdown waits for it.
    const ActiveGuard guard(shared);
    RequestParser parser;
    BodyBudget::Share bodyShare(limits->bodyBudget);
    parser.header_limit(static_cast<std::uint32_t>(limits->headerBytes));
    parser.body_limit(limits->bodyBytes);
    stream.expires_never();
    std::optional<ReadDeadline> deadline(std::in_place, stream, limits->requestTime);
    auto ec = co_await readRequestHead(stream, buf, parser);
    RequestHead head;
    std::optional<std::string> fault;
    if (!ec) {
        head = RequestHead(parser.get());
        fault = requestFramingFault(head.request.headers, head.version);
    }
    if (!ec && !fault)
        ec = co_await readBody(stream, buf, parser, bodyShare);
    const bool isLate = deadline->hasExpired();
    // It limits only reading: left running, it would cancel the response and the close watch.
    deadline.reset();
    if (fault) {
        co_await refuse(stream, shared, *limits,
                        Core::Error(Core::ErrorKind::MalformedRequest, *fault));
        co_return NextStep::DiscardRest;
    }
    if (ec && isLate) {
        co_await refuse(stream, shared, *limits, Core::Error(Core::ErrorKind::SlowCaller));
        co_return NextStep::DiscardRest;
    }
    if (ec) {
        if (isCallerGone(ec))
            co_return NextStep::Close;
        co_await refuse(stream, shared, *limits, readError(ec));
        co_return NextStep::DiscardRest;
    }
    auto exchange =
        std::make_shared<SessionExchange>(stream, shared, *limits, std::move(head),
                                          std::move(parser.get().body()), std::move(bodyShare));
    const WatchGuard watch(*exchange);
    stream.expires_never();
    co_await runHandler(*exchange, shared);
    if (exchange->isCutWithoutMark()) {
        // A reset, because an orderly close would make the stream look complete.
        stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        stream.close();
        co_return NextStep::Close;
    }
    co_return exchange->mayContinue() && !shared.stopping ? NextStep::Continue : NextStep::Close;
}

} // namespace

asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket,
                                      std::shared_ptr<Server::Shared> shared,
                                      [[maybe_unused]] std::shared_ptr<void> open)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    try {
        stream.socket().set_option(asio::ip::tcp::no_delay(true));
        auto next = NextStep::Continue;
        for (bool hasServed = false; next == NextStep::Continue; hasServed = true)
            next = co_await serveOne(stream, buf, *shared, hasServed);
        if (next == NextStep::DiscardRest)
            co_await discardRest(stream, buf, *shared->limits.share());
    } catch (const boost::system::system_error &) {
        // The connection was lost; the socket is closed below.
    }
    boost::system::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

} // namespace Http
