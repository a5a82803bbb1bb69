#include <LibCore/Error.h>
#include <LibHttp/Client.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/MessageFraming.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <optional>

namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
constexpr std::size_t HeaderLimitBytes = 64 * 1024;
// The parser has no limit of its own for chunk extensions and trailers.
constexpr std::size_t BufferLimitBytes = HeaderLimitBytes + ReadBytes;
// More interim responses (status 1xx) than that are no valid answer.
constexpr int MaxInterimResponses = 8;
constexpr unsigned SwitchingProtocols = 101;
// Higher numbers are no status codes (RFC 9110, section 15).
constexpr unsigned MaxStatus = 599;

// An idle connection is not reused within this time before the server may close it.
constexpr std::chrono::milliseconds IdleMargin {1'000};
// For servers that announce no time. One that has vanished never closes the connection.
constexpr std::chrono::milliseconds DefaultIdleTime {60'000};

/// Returns the idle timeout of a Keep-Alive header field, if it has one.
std::optional<std::chrono::seconds> announcedIdleTime(std::string_view field)
{
    constexpr std::string_view Name = "timeout=";
    const auto at = field.find(Name);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const auto *begin = field.data() + at + Name.size();
    const auto result = std::from_chars(begin, field.data() + field.size(), seconds);
    if (result.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

Core::Error errorAfterSend(const boost::system::error_code &ec)
{
    if (ec == beast::error::timeout)
        return Core::Error(Core::ErrorKind::UpstreamTimedOut);
    if (ec.category() == make_error_code(http::error::bad_chunk).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message)
        return Core::Error(Core::ErrorKind::UpstreamAnswerMalformed, ec.message());
    // The TCP user timeout expired with unacknowledged bytes (SendOptions::unacknowledged).
    if (ec == asio::error::timed_out)
        return Core::Error(Core::ErrorKind::UpstreamTimedOut, ec.message());
    return Core::Error(Core::ErrorKind::UpstreamFailed, ec.message());
}

using ViewBody = http::span_body<const char>;

/// Returns a message that refers to the body.
http::request<ViewBody> toBeast(const Endpoint &endpoint, const Request &request,
                                const std::string &body)
{
    http::request<ViewBody> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!request.headers.find("Host"))
        message.set(http::field::host, formatEndpoint(endpoint));
    for (const auto &field : request.headers)
        message.insert(field.name, field.value);
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    return message;
}

} // namespace

namespace {

class PooledExchange final : public ClientExchange
{
public:
    PooledExchange(std::weak_ptr<ConnectionPool> pool, ConnectionPool::Key key,
                   ClientConnectionPtr connection, ClientTimeouts timeouts)
        : m_pool(std::move(pool))
        , m_key(std::move(key))
        , m_connection(std::move(connection))
        , m_timeouts(timeouts)
        , m_isFirst(m_connection->call == 0)
    { }

    unsigned status() const override { return m_parser->get().result_int(); }
    const Headers &headers() const override { return m_headers; }
    bool isFirstOnConnection() const override { return m_isFirst; }

    asio::awaitable<boost::system::error_code>
    sendAndReadHeaders(const Endpoint &endpoint, const Request &request, const std::string *body)
    {
        const bool isHead = request.method == "HEAD";
        auto message = toBeast(endpoint, request, body ? *body : request.body);
        auto &stream = m_connection->stream;
        stream.expires_after(m_timeouts.head);
        boost::system::error_code ec;
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return ec;
        for (int interim = 0;; ++interim) {
            m_parser.emplace();
            m_parser->header_limit(HeaderLimitBytes);
            m_parser->body_limit(boost::none);
            // The response to HEAD has the length of a body that does not follow.
            m_parser->skip(isHead);
            co_await http::async_read_header(stream, m_connection->buf, *m_parser,
                                             asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return ec;
            if (status() >= 200)
                break;
            const bool isInterim = status() >= 100 && status() != SwitchingProtocols;
            if (!isInterim || interim == MaxInterimResponses)
                co_return make_error_code(http::error::bad_status);
        }
        for (const auto &field : m_parser->get())
            m_headers.add(field.name_string(), field.value());
        if (status() > MaxStatus)
            co_return make_error_code(http::error::bad_status);
        if (responseFramingFault(m_headers, m_parser->get().version()))
            ec = make_error_code(http::error::bad_transfer_encoding);
        co_return ec;
    }

    asio::awaitable<std::optional<std::string>> readSome() override
    {
        std::array<char, ReadBytes> chunk;
        while (!m_parser->is_done()) {
            auto &body = m_parser->get().body();
            body.data = chunk.data();
            body.size = chunk.size();
            m_connection->stream.expires_after(m_timeouts.body);
            boost::system::error_code ec;
            co_await http::async_read_some(m_connection->stream, m_connection->buf, *m_parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            if (ec && ec != http::error::need_buffer)
                throw errorAfterSend(ec);
            const auto n = chunk.size() - body.size;
            if (n > 0)
                co_return std::string(chunk.data(), n);
        }
        release();
        co_return std::nullopt;
    }

    void setBodyTimeout(std::chrono::milliseconds limit) override { m_timeouts.body = limit; }

    void abort() override
    {
        if (m_connection)
            m_connection->stream.close();
    }

private:
    /// Returns the connection to the pool after a complete response.
    void release()
    {
        // Do not reuse a connection with bytes after the end of the response.
        if (!m_connection || !m_parser->keep_alive() || m_connection->buf.size() > 0)
            return;
        auto idleTime = DefaultIdleTime;
        if (const auto idle = announcedIdleTime(m_parser->get()[http::field::keep_alive]))
            idleTime = *idle - IdleMargin;
        m_connection->stream.expires_never();
        ++m_connection->call;
        if (const auto pool = m_pool.lock())
            pool->put(m_key, std::move(m_connection), idleTime);
    }

    std::weak_ptr<ConnectionPool> m_pool;
    ConnectionPool::Key m_key;
    ClientConnectionPtr m_connection;
    ClientTimeouts m_timeouts;
    bool m_isFirst;
    /// Set when a response is read.
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    Headers m_headers;
};

/// Lets options.abort close the connection while it still serves this call.
void bindAbort(const SendOptions &options, const ClientConnectionPtr &connection)
{
    if (!options.abort)
        return;
    options.abort->bind([weak = std::weak_ptr(connection), call = connection->call] {
        const auto alive = weak.lock();
        if (alive && alive->call == call)
            alive->stream.close();
    });
}

/// Probes an idle connection, so that a server that has fallen silent is noticed although no sent
/// bytes are unacknowledged. A server that only takes long to answer acknowledges the probes.
void enableProbes(asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    constexpr int ProbeCount = 2;
    const auto seconds =
        static_cast<int>(std::chrono::ceil<std::chrono::seconds>(timeout / ProbeCount).count());
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(Idle(seconds), ec);
    socket.set_option(Interval(seconds), ec);
    socket.set_option(Count(ProbeCount), ec);
}

asio::awaitable<ClientConnectionPtr> connect(const asio::any_io_executor &executor,
                                             ConnectionPool &pool, Endpoint endpoint,
                                             std::chrono::milliseconds limit,
                                             const SendOptions &options)
{
    auto connection = std::make_shared<ClientConnection>(executor, BufferLimitBytes);
    bindAbort(options, connection);
    connection->stream.expires_after(limit);
    boost::system::error_code ec;
    co_await connection->stream.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::no_descriptors) {
        pool.closeHalf();
        // The connections are closed by handlers of this thread.
        co_await asio::post(executor, asio::use_awaitable);
        co_await connection->stream.async_connect(endpoint,
                                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec)
        throw Core::Error(Core::ErrorKind::UpstreamUnreachable,
                          formatEndpoint(endpoint) + ": " + ec.message());
    auto &socket = connection->stream.socket();
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    if (options.unacknowledged > std::chrono::milliseconds::zero()) {
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        socket.set_option(UserTimeout(static_cast<int>(options.unacknowledged.count())), ec);
        enableProbes(socket, options.unacknowledged);
    }
    co_return connection;
}

} // namespace

Client::Client()
    : m_pool(std::make_shared<ConnectionPool>())
{ }

Client::~Client() = default;

void Client::closeIdleHalf()
{
    m_pool->closeHalf();
}

void Client::closeIdle(const Endpoint &endpoint)
{
    m_pool->close(endpoint);
}

void CallAbort::abort()
{
    m_isAborted = true;
    if (m_close)
        m_close();
}

void CallAbort::bind(std::function<void()> close)
{
    m_close = std::move(close);
    if (m_isAborted)
        m_close();
}

asio::awaitable<std::unique_ptr<ClientExchange>>
Client::open(Endpoint endpoint, Request request, ClientTimeouts timeouts, ConnectionUse use)
{
    SendOptions options;
    options.use = use;
    co_return co_await open(std::move(endpoint), std::move(request), timeouts, std::move(options));
}

asio::awaitable<std::unique_ptr<ClientExchange>>
Client::open(Endpoint endpoint, Request request, ClientTimeouts timeouts, SendOptions options)
{
    const auto executor = co_await asio::this_coro::executor;
    const ConnectionPool::Key key {&asio::query(executor, asio::execution::context), endpoint};
    const auto prepareToSend = [&options, &request] {
        if ((options.abort && options.abort->isAborted())
            || (options.maySend && !options.maySend()))
            throw Core::Error(Core::ErrorKind::UpstreamUnreachable, "cancelled before sending");
        if (options.onSend)
            options.onSend(request);
    };
    if (auto pooled = options.use == ConnectionUse::PooledOrNew ? m_pool->take(key) : nullptr) {
        prepareToSend();
        bindAbort(options, pooled);
        auto exchange = std::make_unique<PooledExchange>(m_pool, key, std::move(pooled), timeouts);
        const auto ec = co_await exchange->sendAndReadHeaders(endpoint, request, options.body);
        if (!ec)
            co_return exchange;
        const bool isAborted = options.abort && options.abort->isAborted();
        if (ec == beast::error::timeout || !options.mayRepeat || isAborted)
            throw errorAfterSend(ec);
        // The idle connection failed, and the request may be repeated on a new one.
    }
    auto connection = co_await connect(executor, *m_pool, endpoint, timeouts.connect, options);
    prepareToSend();
    auto exchange = std::make_unique<PooledExchange>(m_pool, key, std::move(connection), timeouts);
    if (const auto ec = co_await exchange->sendAndReadHeaders(endpoint, request, options.body); ec)
        throw errorAfterSend(ec);
    co_return exchange;
}

asio::awaitable<Response> Client::fetch(Endpoint endpoint, Request request, ClientTimeouts timeouts,
                                        std::size_t bodyLimit, ConnectionUse use)
{
    SendOptions options;
    options.use = use;
    co_return co_await fetch(std::move(endpoint), std::move(request), timeouts, std::move(options),
                             bodyLimit);
}

asio::awaitable<Response> Client::fetch(Endpoint endpoint, Request request, ClientTimeouts timeouts,
                                        SendOptions options, std::size_t bodyLimit)
{
    try {
        co_return co_await fetchOnce(endpoint, std::move(request), timeouts, std::move(options),
                                     bodyLimit);
    } catch (const Core::Error &error) {
        // The next call must not wait on another connection that has gone silent.
        if (error.kind() == Core::ErrorKind::UpstreamTimedOut)
            closeIdle(endpoint);
        throw;
    }
}

asio::awaitable<Response> Client::fetchOnce(Endpoint endpoint, Request request,
                                            ClientTimeouts timeouts, SendOptions options,
                                            std::size_t bodyLimit)
{
    const auto end =
        std::chrono::steady_clock::now() + timeouts.connect + timeouts.head + timeouts.body;
    auto exchange =
        co_await open(std::move(endpoint), std::move(request), timeouts, std::move(options));
    Response response;
    response.status = exchange->status();
    response.headers = exchange->headers();
    while (auto chunk = co_await exchange->readSome()) {
        response.body += *chunk;
        // A server that sends a byte now and then does not prolong the call.
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= std::chrono::milliseconds::zero())
            throw Core::Error(Core::ErrorKind::UpstreamTimedOut, "the answer is not complete");
        exchange->setBodyTimeout(std::min(left, timeouts.body));
        if (response.body.size() > bodyLimit)
            throw Core::Error(Core::ErrorKind::UpstreamAnswerMalformed, "the answer is too large");
    }
    co_return response;
}

} // namespace Http
