#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibPeer/PeerServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace Peer {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr std::chrono::milliseconds AcceptPause {50};

} // namespace

Core::Result<std::shared_ptr<PeerServer>>
PeerServer::create(asio::io_context &context, const tcp::endpoint &endpoint, PeerHandlers handlers,
                   const PeerSettings &settings, PeerCounters &counters)
{
    try {
        settings.check();
        tcp::acceptor acceptor(asio::make_strand(context), endpoint);
        return std::shared_ptr<PeerServer>(
            new PeerServer(context, std::move(acceptor), std::move(handlers), settings, counters));
    } catch (const Core::Error &error) {
        return error;
    } catch (const boost::system::system_error &error) {
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           std::string("the peer port cannot be opened: ") + error.what());
    }
}

PeerServer::PeerServer(asio::io_context &context, tcp::acceptor acceptor, PeerHandlers handlers,
                       const PeerSettings &settings, PeerCounters &counters)
    : m_context(context)
    , m_acceptor(std::move(acceptor))
    , m_endpoint(m_acceptor.local_endpoint())
    , m_handlers(std::move(handlers))
    , m_settings(settings)
    , m_counters(counters)
{ }

void PeerServer::start()
{
    Core::spawnLoop(m_acceptor.get_executor(), "peer port",
                    [self = shared_from_this()] { return self->acceptLoop(); });
}

void PeerServer::stop()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
    });
    std::scoped_lock lock(m_mutex);
    m_stopped = true;
    for (const auto &weak : m_links) {
        if (const auto link = weak.lock())
            link->close();
    }
    m_links.clear();
}

asio::awaitable<void> PeerServer::acceptLoop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        tcp::socket socket(asio::make_strand(m_context));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            asio::steady_timer pause(m_acceptor.get_executor(), AcceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (!admit())
            continue;
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

bool PeerServer::admit()
{
    std::scoped_lock lock(m_mutex);
    m_links.remove_if([](const auto &weak) { return weak.expired(); });
    if (m_stopped || m_links.size() + m_handshakes >= m_settings.maxConnections) {
        ++m_counters.rejected;
        return false;
    }
    ++m_handshakes;
    return true;
}

void PeerServer::keep(const std::shared_ptr<PeerLink> &link)
{
    std::scoped_lock lock(m_mutex);
    if (m_stopped)
        link->close();
    m_links.push_back(link);
}

asio::awaitable<void> PeerServer::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    const auto stream = std::make_shared<FrameStream>(std::move(socket), m_counters);
    try {
        boost::system::error_code ec;
        stream->socket().set_option(tcp::no_delay(true), ec);
        auto peer = co_await performHandshake(stream, m_settings, Role::Server, m_counters);
        ++m_counters.accepted;
        Core::logEvent(Core::EventId::PeerConnected, {{"peer", peer.instance.value()}});
        const auto link =
            PeerLink::create(stream, std::move(peer), m_handlers, m_settings, m_counters);
        keep(link);
        link->start(Role::Server);
    } catch (const Core::Error &) {
        // performHandshake() has already counted and logged the failure.
        stream->close();
    } catch (const std::exception &fault) {
        Core::logUnexpected("connection of a peer", fault.what());
        stream->close();
    }
    std::scoped_lock lock(m_mutex);
    --m_handshakes;
}

} // namespace Peer
