#include <LibCore/Error.h>
#include <LibHttp/Client.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <compare>
#include <map>
#include <mutex>
#include <vector>

namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
constexpr std::size_t HeaderLimitBytes = 64 * 1024;
constexpr std::size_t KeptConnectionsPerEndpoint = 64;

/// A connection and what was read from it beyond the last answer.
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
};

using ConnectionPtr = std::unique_ptr<Connection>;

Core::Error sentError(const boost::system::error_code &ec)
{
    if (ec == beast::error::timeout)
        return Core::Error(Core::ErrorKind::UpstreamTimedOut);
    if (ec.category() == make_error_code(http::error::bad_chunk).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message)
        return Core::Error(Core::ErrorKind::UpstreamGarbage, ec.message());
    return Core::Error(Core::ErrorKind::UpstreamFailed, ec.message());
}

http::request<http::string_body> toBeast(const Endpoint &endpoint, Request request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, formatEndpoint(endpoint));
    for (const auto &field : request.headers)
        message.insert(field.name, field.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

/// Idle connections. A connection is bound to the thread that opened it, so the executor is part
/// of the key.
struct Client::Shared
{
    struct Key
    {
        const void *context;
        Endpoint endpoint;
        auto operator<=>(const Key &other) const
        {
            if (const auto order = context <=> other.context; std::is_neq(order))
                return order;
            if (endpoint == other.endpoint)
                return std::strong_ordering::equal;
            return endpoint < other.endpoint ? std::strong_ordering::less
                                             : std::strong_ordering::greater;
        }
        bool operator==(const Key &) const = default;
    };

    ConnectionPtr take(const Key &key)
    {
        std::scoped_lock lock(mutex);
        auto &kept = idle[key];
        if (kept.empty())
            return nullptr;
        auto connection = std::move(kept.back());
        kept.pop_back();
        return connection;
    }

    void keep(const Key &key, ConnectionPtr connection)
    {
        std::scoped_lock lock(mutex);
        auto &kept = idle[key];
        if (kept.size() < KeptConnectionsPerEndpoint)
            kept.push_back(std::move(connection));
    }

    std::mutex mutex;
    std::map<Key, std::vector<ConnectionPtr>> idle;
};

namespace {

class PooledExchange final : public ClientExchange
{
public:
    PooledExchange(std::weak_ptr<Client::Shared> shared, Client::Shared::Key key,
                   ConnectionPtr connection, ClientTimeouts timeouts)
        : m_shared(std::move(shared))
        , m_key(std::move(key))
        , m_connection(std::move(connection))
        , m_timeouts(timeouts)
    {
        m_parser.header_limit(HeaderLimitBytes);
        m_parser.body_limit(boost::none);
    }

    unsigned status() const override { return m_parser.get().result_int(); }
    const Headers &headers() const override { return m_headers; }

    asio::awaitable<boost::system::error_code> exchangeHeads(const Endpoint &endpoint,
                                                             Request request)
    {
        auto message = toBeast(endpoint, std::move(request));
        auto &stream = m_connection->stream;
        stream.expires_after(m_timeouts.head);
        boost::system::error_code ec;
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return ec;
        co_await http::async_read_header(stream, m_connection->buf, m_parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return ec;
        for (const auto &field : m_parser.get())
            m_headers.add(field.name_string(), field.value());
        co_return ec;
    }

    asio::awaitable<std::optional<std::string>> readSome() override
    {
        std::array<char, ReadBytes> piece;
        while (!m_parser.is_done()) {
            auto &body = m_parser.get().body();
            body.data = piece.data();
            body.size = piece.size();
            m_connection->stream.expires_after(m_timeouts.body);
            boost::system::error_code ec;
            co_await http::async_read_some(m_connection->stream, m_connection->buf, m_parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            if (ec && ec != http::error::need_buffer)
                throw sentError(ec);
            const auto n = piece.size() - body.size;
            if (n > 0)
                co_return std::string(piece.data(), n);
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
    /// Returns the connection to the idle ones after a whole answer.
    void release()
    {
        if (!m_connection || !m_parser.keep_alive())
            return;
        m_connection->stream.expires_never();
        if (const auto shared = m_shared.lock())
            shared->keep(m_key, std::move(m_connection));
    }

    std::weak_ptr<Client::Shared> m_shared;
    Client::Shared::Key m_key;
    ConnectionPtr m_connection;
    ClientTimeouts m_timeouts;
    http::response_parser<http::buffer_body> m_parser;
    Headers m_headers;
};

asio::awaitable<ConnectionPtr> connect(const asio::any_io_executor &executor, Endpoint endpoint,
                                       std::chrono::milliseconds limit)
{
    auto connection = std::make_unique<Connection>(executor);
    connection->stream.expires_after(limit);
    boost::system::error_code ec;
    co_await connection->stream.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        throw Core::Error(Core::ErrorKind::UpstreamUnreachable,
                          formatEndpoint(endpoint) + ": " + ec.message());
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    co_return connection;
}

} // namespace

Client::Client()
    : m_shared(std::make_shared<Shared>())
{ }

Client::~Client() = default;

asio::awaitable<std::unique_ptr<ClientExchange>>
Client::open(Endpoint endpoint, Request request, ClientTimeouts timeouts, ConnectionUse use)
{
    const auto executor = co_await asio::this_coro::executor;
    const Shared::Key key {&asio::query(executor, asio::execution::context), endpoint};
    if (auto kept = use == ConnectionUse::KeptOrNew ? m_shared->take(key) : nullptr) {
        auto exchange = std::make_unique<PooledExchange>(m_shared, key, std::move(kept), timeouts);
        const auto ec = co_await exchange->exchangeHeads(endpoint, request);
        if (!ec)
            co_return exchange;
        if (ec == beast::error::timeout)
            throw sentError(ec);
        // The server had closed the kept connection; this request may be repeated on a new one.
    }
    auto connection = co_await connect(executor, endpoint, timeouts.connect);
    auto exchange =
        std::make_unique<PooledExchange>(m_shared, key, std::move(connection), timeouts);
    if (const auto ec = co_await exchange->exchangeHeads(endpoint, std::move(request)); ec)
        throw sentError(ec);
    co_return exchange;
}

asio::awaitable<Response> Client::fetch(Endpoint endpoint, Request request, ClientTimeouts timeouts,
                                        std::size_t bodyLimit, ConnectionUse use)
{
    auto exchange = co_await open(endpoint, std::move(request), timeouts, use);
    Response response;
    response.status = exchange->status();
    response.headers = exchange->headers();
    while (auto piece = co_await exchange->readSome()) {
        response.body += *piece;
        if (response.body.size() > bodyLimit)
            throw Core::Error(Core::ErrorKind::UpstreamGarbage, "the answer is too large");
    }
    co_return response;
}

} // namespace Http
