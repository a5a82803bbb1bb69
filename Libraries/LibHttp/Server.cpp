#include <LibCore/BackgroundLoop.h>
#include <LibHttp/Server.h>
#include <LibHttp/ServerSession.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Http {

namespace asio = boost::asio;

namespace {
// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr std::chrono::milliseconds AcceptPause {50};
} // namespace

class Server::Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
    Acceptor(Core::IoThreads &threads, std::shared_ptr<Shared> shared)
        : m_threads(threads)
        , m_acceptor(threads.next())
        , m_shared(std::move(shared))
    {
        m_shared->open = m_open;
    }

    void open(const Endpoint &endpoint)
    {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_local = m_acceptor.local_endpoint();
    }

    void start()
    {
        Core::spawnLoop(m_acceptor.get_executor(), "port " + formatEndpoint(m_local),
                        [self = shared_from_this()] { return self->run(); });
    }

    void close()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            self->acceptEstablished();
            boost::system::error_code ec;
            self->m_acceptor.close(ec);
        });
    }

    Endpoint localEndpoint() const { return m_local; }

private:
    asio::awaitable<void> run()
    {
        while (m_acceptor.is_open()) {
            auto &context = m_threads.next();
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(
                context, asio::redirect_error(asio::use_awaitable, ec));
            if (!ec) {
                serve(context, std::move(socket));
            } else if (m_acceptor.is_open()) {
                const bool isTableFull =
                    ec == asio::error::no_descriptors
                    || ec == boost::system::errc::too_many_files_open_in_system;
                if (isTableFull && m_shared->onDescriptorsExhausted)
                    m_shared->onDescriptorsExhausted();
                asio::steady_timer timer(m_acceptor.get_executor(), AcceptPause);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            }
        }
        m_open.reset();
    }

    /// Accepts the connections that would be reset when the port is closed.
    void acceptEstablished()
    {
        boost::system::error_code ec;
        m_acceptor.non_blocking(true, ec);
        for (int n = 0; !ec && n < asio::socket_base::max_listen_connections; ++n) {
            auto &context = m_threads.next();
            asio::ip::tcp::socket socket(context);
            m_acceptor.accept(socket, ec);
            if (!ec)
                serve(context, std::move(socket));
        }
    }

    void serve(asio::io_context &context, asio::ip::tcp::socket socket)
    {
        asio::co_spawn(context, serveConnection(std::move(socket), m_shared, m_open),
                       asio::detached);
    }

    Core::IoThreads &m_threads;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<Shared> m_shared;
    std::shared_ptr<void> m_open = std::make_shared<char>();
    Endpoint m_local;
};

Core::Result<std::unique_ptr<Server>> Server::create(Core::IoThreads &threads,
                                                     const Endpoint &endpoint,
                                                     const ServerLimits &limits, Handler handler,
                                                     std::function<void()> onDescriptorsExhausted)
{
    auto shared = std::make_shared<Shared>(limits);
    shared->handler = std::move(handler);
    shared->onDescriptorsExhausted = std::move(onDescriptorsExhausted);
    auto acceptor = std::make_shared<Acceptor>(threads, shared);
    try {
        acceptor->open(endpoint);
    } catch (const boost::system::system_error &fault) {
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           "cannot listen on " + formatEndpoint(endpoint) + ": " + fault.what());
    }
    acceptor->start();
    return std::unique_ptr<Server>(new Server(std::move(shared), std::move(acceptor)));
}

Server::Server(std::shared_ptr<Shared> shared, std::shared_ptr<Acceptor> acceptor)
    : m_shared(std::move(shared))
    , m_acceptor(std::move(acceptor))
{ }

Server::~Server()
{
    m_shared->abandoned = true;
    stopAccepting();
}

Endpoint Server::localEndpoint() const
{
    return m_acceptor->localEndpoint();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_shared->limits.replace(std::make_shared<ServerLimits>(limits));
}

void Server::beginDrain()
{
    m_shared->draining = true;
}

void Server::closeIdle()
{
    m_shared->idle.closeAll();
}

void Server::stopAccepting()
{
    if (!m_shared->stopping.exchange(true))
        m_acceptor->close();
}

bool Server::hasEnded() const
{
    return m_shared->open.expired();
}

std::size_t Server::activeExchanges() const
{
    return m_shared->activeExchanges;
}

} // namespace Http
