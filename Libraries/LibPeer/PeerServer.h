#pragma once

#include <LibCore/Result.h>
#include <LibPeer/PeerLink.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <mutex>

namespace Peer {

/// Accepts the links of siblings. A connection that fails the handshake is closed, counted and
/// logged. Links stay open until the connection ends or stop() is called.
class PeerServer : public std::enable_shared_from_this<PeerServer>
{
public:
    /// Opens the port. Fails with SettingsInvalid when that is not possible. Settings and counters
    /// must outlive the server and its links.
    static Core::Result<std::shared_ptr<PeerServer>>
    create(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
           PeerHandlers handlers, const PeerSettings &settings, PeerCounters &counters);

    /// Starts accepting connections.
    void start();

    /// Closes the port and every link. Safe from any thread.
    void stop();

    /// The local address, with the port that the system selected if it was 0.
    boost::asio::ip::tcp::endpoint endpoint() const { return m_endpoint; }

private:
    PeerServer(boost::asio::io_context &context, boost::asio::ip::tcp::acceptor acceptor,
               PeerHandlers handlers, const PeerSettings &settings, PeerCounters &counters);

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    bool admit();
    void keep(const std::shared_ptr<PeerLink> &link);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    const PeerHandlers m_handlers;
    const PeerSettings &m_settings;
    PeerCounters &m_counters;
    std::mutex m_mutex;
    bool m_stopped = false;
    std::size_t m_handshakes = 0;
    std::list<std::weak_ptr<PeerLink>> m_links;
};

} // namespace Peer
