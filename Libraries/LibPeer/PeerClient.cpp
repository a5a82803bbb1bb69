#include <LibCore/EventLog.h>
#include <LibPeer/PeerClient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>

namespace Peer {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

Core::Error unavailable(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::PeerUnavailable, detail);
}

} // namespace

std::shared_ptr<PeerClient> PeerClient::create(asio::io_context &context, PeerHandlers handlers,
                                               const PeerSettings &settings, PeerCounters &counters)
{
    settings.check();
    return std::shared_ptr<PeerClient>(
        new PeerClient(context, std::move(handlers), settings, counters));
}

PeerClient::PeerClient(asio::io_context &context, PeerHandlers handlers,
                       const PeerSettings &settings, PeerCounters &counters)
    : m_context(context)
    , m_strand(asio::make_strand(context))
    , m_handlers(std::move(handlers))
    , m_settings(settings)
    , m_counters(counters)
{ }

asio::awaitable<Body> PeerClient::request(PeerAddress address, Body body,
                                          std::chrono::milliseconds timeout)
{
    const auto self = shared_from_this();
    const auto deadline = steady_clock::now() + timeout;
    const auto peerLink = co_await link(address);
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now());
    if (left.count() <= 0)
        throw unavailable("the timeout passed while connecting");
    co_return co_await peerLink->request(std::move(body), left);
}

void PeerClient::send(PeerAddress address, Body body)
{
    asio::co_spawn(m_strand, sendNow(address, std::move(body)), asio::detached);
}

asio::awaitable<void> PeerClient::sendNow(PeerAddress address, Body body)
{
    const auto self = shared_from_this();
    try {
        const auto peerLink = co_await linkOnStrand(address);
        peerLink->send(std::move(body));
    } catch (const Core::Error &) {
        // The delivery of one-way messages is not guaranteed.
    }
}

void PeerClient::close()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_closed = true;
        for (auto &[endpoint, entry] : self->m_entries) {
            if (entry->link)
                entry->link->close();
        }
        self->m_entries.clear();
    });
}

asio::awaitable<PeerClient::LinkPointer> PeerClient::link(PeerAddress address)
{
    auto work = linkOnStrand(address);
    co_return co_await asio::co_spawn(m_strand, std::move(work), asio::use_awaitable);
}

asio::awaitable<PeerClient::LinkPointer> PeerClient::linkOnStrand(PeerAddress address)
{
    if (m_closed)
        throw unavailable("the peer client is closed");
    auto &slot = m_entries[address.endpoint];
    if (!slot)
        slot = std::make_shared<Entry>(m_strand);
    const auto entry = slot;
    entry->lastUsed = steady_clock::now();
    if (entry->link && !entry->link->isOpen())
        entry->link.reset();
    if (!entry->link) {
        if (steady_clock::now() < entry->retryAt)
            throw unavailable("a recent attempt to connect to the sibling failed");
        if (entry->connecting) {
            boost::system::error_code ec;
            co_await entry->settled.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        } else {
            co_await connect(address.endpoint, entry);
        }
    }
    if (!entry->link)
        throw unavailable("the sibling cannot be reached");
    if (address.incarnation && entry->link->peer().incarnation != *address.incarnation)
        throw Core::Error(Core::ErrorKind::PeerRejected,
                          "the process at the address has another incarnation");
    co_return entry->link;
}

asio::awaitable<void> PeerClient::connect(Endpoint endpoint, std::shared_ptr<Entry> entry)
{
    entry->connecting = true;
    dropLeastRecentlyUsed();
    try {
        entry->link = co_await open(endpoint);
        entry->pause = std::chrono::milliseconds(0);
    } catch (const std::exception &) {
        noteFailure(*entry);
    }
    entry->connecting = false;
    entry->settled.cancel();
    if (m_closed && entry->link)
        entry->link->close();
}

void PeerClient::noteFailure(Entry &entry) const
{
    entry.pause = std::clamp(entry.pause * 2, m_settings.retryPause, m_settings.maxRetryPause);
    entry.retryAt = steady_clock::now() + entry.pause;
}

asio::awaitable<PeerClient::LinkPointer> PeerClient::open(Endpoint endpoint)
{
    tcp::socket socket(asio::make_strand(m_context));
    const auto executor = socket.get_executor();
    const auto stream = std::make_shared<FrameStream>(std::move(socket), m_counters);
    auto work = establish(stream, endpoint);
    auto peer = co_await asio::co_spawn(executor, std::move(work), asio::use_awaitable);
    ++m_counters.connected;
    Core::logEvent(Core::EventId::PeerConnected, {{"peer", peer.instance.value()}});
    auto peerLink = PeerLink::create(stream, std::move(peer), m_handlers, m_settings, m_counters);
    peerLink->start(Role::Client);
    co_return peerLink;
}

asio::awaitable<PeerIdentity> PeerClient::establish(std::shared_ptr<FrameStream> stream,
                                                    Endpoint endpoint)
{
    {
        const Watchdog watchdog(stream, m_settings.connectTimeout);
        co_await stream->socket().async_connect(endpoint, asio::use_awaitable);
    }
    stream->socket().set_option(tcp::no_delay(true));
    co_return co_await performHandshake(stream, m_settings, Role::Client, m_counters);
}

void PeerClient::dropLeastRecentlyUsed()
{
    // Long enough to keep a sibling's retry back-off until it has expired.
    const auto horizon = steady_clock::now() - 2 * m_settings.maxRetryPause;
    std::erase_if(m_entries, [horizon](const auto &item) {
        const auto &entry = *item.second;
        const bool open = entry.link && entry.link->isOpen();
        return !open && !entry.connecting && entry.lastUsed < horizon;
    });
    if (m_entries.size() < m_settings.maxOutgoingLinks)
        return;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second->lastUsed < right.second->lastUsed;
                                         });
    if (oldest->second->link)
        oldest->second->link->close();
    if (!oldest->second->connecting)
        m_entries.erase(oldest);
}

} // namespace Peer
