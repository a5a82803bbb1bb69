#pragma once

#include <LibPeer/PeerLink.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace Peer {

/// The address of a sibling and, optionally, the expected process.
struct PeerAddress
{
    boost::asio::ip::tcp::endpoint endpoint;
    /// If set, calls fail with Error(PeerRejected), without sending anything, when the process at
    /// the address has another incarnation.
    std::optional<std::uint64_t> incarnation;
};

/// The outgoing links of a process, one per address, opened on first use and kept open. After a
/// failed connect, calls fail immediately until a back-off has passed. All functions are
/// safe from any thread.
class PeerClient : public std::enable_shared_from_this<PeerClient>
{
public:
    /// Throws Error(SettingsInvalid). Settings and counters must outlive the client and its links.
    static std::shared_ptr<PeerClient> create(boost::asio::io_context &context,
                                              PeerHandlers handlers, const PeerSettings &settings,
                                              PeerCounters &counters);

    /// Sends a request and waits for the answer. Throws Error(PeerUnavailable) when the sibling
    /// cannot be reached or does not answer within the timeout, and Error(PeerRejected) when
    /// another process is at the address. Connecting counts towards the timeout.
    boost::asio::awaitable<Body> request(PeerAddress address, Body body,
                                         std::chrono::milliseconds timeout);

    /// Sends a one-way message and opens a link if there is none. A message that cannot be
    /// sent is dropped.
    void send(PeerAddress address, Body body);

    /// Closes all links. Later calls fail.
    void close();

private:
    struct Entry
    {
        explicit Entry(const boost::asio::any_io_executor &executor)
            : settled(executor, boost::asio::steady_timer::time_point::max())
        { }
        std::shared_ptr<PeerLink> link;
        bool connecting = false;
        /// Never expires; cancelled to wake up the waiting calls when a connect attempt ends.
        boost::asio::steady_timer settled;
        std::chrono::steady_clock::time_point retryAt;
        std::chrono::milliseconds pause {0};
        std::chrono::steady_clock::time_point lastUsed;
    };
    using Endpoint = boost::asio::ip::tcp::endpoint;
    using LinkPointer = std::shared_ptr<PeerLink>;

    PeerClient(boost::asio::io_context &context, PeerHandlers handlers,
               const PeerSettings &settings, PeerCounters &counters);

    boost::asio::awaitable<LinkPointer> link(PeerAddress address);
    boost::asio::awaitable<LinkPointer> linkOnStrand(PeerAddress address);
    boost::asio::awaitable<void> sendNow(PeerAddress address, Body body);
    boost::asio::awaitable<void> connect(Endpoint endpoint, std::shared_ptr<Entry> entry);
    boost::asio::awaitable<LinkPointer> open(Endpoint endpoint);
    boost::asio::awaitable<PeerIdentity> establish(std::shared_ptr<FrameStream> stream,
                                                   Endpoint endpoint);
    void noteFailure(Entry &entry) const;
    void dropLeastRecentlyUsed();

    boost::asio::io_context &m_context;
    boost::asio::any_io_executor m_strand;
    const PeerHandlers m_handlers;
    const PeerSettings &m_settings;
    PeerCounters &m_counters;
    bool m_closed = false;
    std::map<Endpoint, std::shared_ptr<Entry>> m_entries;
};

} // namespace Peer
