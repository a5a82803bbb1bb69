#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibPeer/PeerLink.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace Peer {

namespace asio = boost::asio;

namespace {

Core::Error unavailable(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::PeerUnavailable, detail);
}

} // namespace

std::shared_ptr<PeerLink> PeerLink::create(std::shared_ptr<FrameStream> stream, PeerIdentity peer,
                                           PeerHandlers handlers, const PeerSettings &settings,
                                           PeerCounters &counters)
{
    return std::shared_ptr<PeerLink>(
        new PeerLink(std::move(stream), std::move(peer), std::move(handlers), settings, counters));
}

PeerLink::PeerLink(std::shared_ptr<FrameStream> stream, PeerIdentity peer, PeerHandlers handlers,
                   const PeerSettings &settings, PeerCounters &counters)
    : m_stream(std::move(stream))
    , m_peer(std::move(peer))
    , m_handlers(std::move(handlers))
    , m_settings(settings)
    , m_counters(counters)
    , m_executor(m_stream->socket().get_executor())
    , m_writable(m_executor, asio::steady_timer::time_point::max())
{ }

void PeerLink::start(Role role)
{
    asio::co_spawn(
        m_executor, [self = shared_from_this(), role] { return self->readLoop(role); },
        asio::detached);
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->writeLoop(); }, asio::detached);
}

asio::awaitable<Body> PeerLink::request(Body body, std::chrono::milliseconds timeout)
{
    // The timeout runs on the same strand on which responses arrive.
    auto work = requestOnStrand(std::move(body), timeout);
    co_return co_await asio::co_spawn(m_executor, std::move(work), asio::use_awaitable);
}

asio::awaitable<Body> PeerLink::requestOnStrand(Body body, std::chrono::milliseconds timeout)
{
    const auto self = shared_from_this();
    const auto id = ++m_lastId;
    if (!enqueue(encodeMessage(Wire::Purpose::Request, id, body)))
        throw unavailable("the link is closed or its queue is full");
    const auto waiting = std::make_shared<Waiting>(m_executor);
    const auto framesBefore = m_framesReceived;
    m_waiting.emplace(id, waiting);
    waiting->timer.expires_after(timeout);
    boost::system::error_code ec;
    co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_waiting.erase(id);
    if (waiting->reply)
        co_return std::move(*waiting->reply);
    if (!m_open)
        throw unavailable("the link was closed");
    ++m_counters.requestsTimedOut;
    if (m_framesReceived == framesBefore)
        closeOnStrand();
    throw unavailable("no answer within the timeout");
}

void PeerLink::send(Body body)
{
    auto payload = encodeMessage(Wire::Purpose::OneWay, 0, body);
    asio::post(m_executor, [self = shared_from_this(), payload = std::move(payload)]() mutable {
        self->enqueue(std::move(payload));
    });
}

void PeerLink::close()
{
    asio::post(m_executor, [self = shared_from_this()] { self->closeOnStrand(); });
}

void PeerLink::closeOnStrand()
{
    if (!m_open.exchange(false))
        return;
    m_stream->close();
    m_writable.cancel();
    for (auto &[id, waiting] : m_waiting)
        waiting->timer.cancel();
}

bool PeerLink::enqueue(std::string payload)
{
    if (!m_open)
        return false;
    const bool fits = payload.size() <= m_settings.maxFrameBytes
                      && m_queuedBytes + payload.size() <= m_settings.maxQueuedBytes;
    if (!fits) {
        ++m_counters.queueOverflows;
        return false;
    }
    m_queuedBytes += payload.size();
    m_queue.push_back(std::move(payload));
    m_writable.cancel();
    return true;
}

asio::awaitable<void> PeerLink::writeLoop()
{
    const auto self = shared_from_this();
    while (m_open) {
        if (m_queue.empty()) {
            boost::system::error_code ec;
            co_await m_writable.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        auto payload = std::move(m_queue.front());
        m_queue.pop_front();
        m_queuedBytes -= payload.size();
        const Watchdog watchdog(m_stream, m_settings.writeTimeout);
        try {
            co_await m_stream->write(std::move(payload));
        } catch (const boost::system::system_error &) {
            closeOnStrand();
        } catch (const std::exception &fault) {
            Core::logUnexpected("link of a peer", fault.what());
            closeOnStrand();
        }
    }
}

asio::awaitable<void> PeerLink::readLoop(Role role)
{
    const auto self = shared_from_this();
    try {
        while (m_open) {
            // Normally the accepting side closes idle links; the other side waits twice as long.
            const auto limit =
                role == Role::Server ? m_settings.idleTimeout : m_settings.idleTimeout * 2;
            const Watchdog watchdog(m_stream, limit);
            const auto payload = co_await m_stream->read(m_settings.maxFrameBytes);
            ++m_framesReceived;
            receive(payload);
        }
    } catch (const Core::Error &error) {
        ++m_counters.invalidFrames;
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"peer", m_peer.instance.value()}, {"detail", error.detail()}});
    } catch (const boost::system::system_error &) {
        // The connection ended; the link is closed below.
    } catch (const std::exception &fault) {
        Core::logUnexpected("link of a peer", fault.what());
    }
    closeOnStrand();
}

void PeerLink::receive(const std::string &payload)
{
    auto message = decodeMessage(payload).value();
    switch (message.purpose) {
    case Wire::Purpose::Request:
        receiveRequest(message.id, std::move(message.body));
        return;
    case Wire::Purpose::Response:
        receiveResponse(message.id, std::move(message.body));
        return;
    case Wire::Purpose::OneWay:
        if (!isKnown(message.body))
            ++m_counters.unknownMessages;
        else if (m_handlers.onMessage)
            m_handlers.onMessage(m_peer, std::move(message.body));
        return;
    }
    ++m_counters.unknownMessages;
}

void PeerLink::receiveRequest(std::uint64_t id, Body body)
{
    if (m_runningRequests >= m_settings.maxRunningRequests) {
        const Core::Error busy(Core::ErrorKind::Overloaded,
                               "too many requests of this peer are running");
        enqueue(encodeMessage(Wire::Purpose::Response, id, makeRefusal(busy)));
        return;
    }
    ++m_runningRequests;
    asio::co_spawn(m_executor, answer(id, std::move(body)), asio::detached);
}

void PeerLink::receiveResponse(std::uint64_t id, Body body)
{
    // A response that arrives after the timeout is dropped; ids are never reused.
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return;
    it->second->reply = std::move(body);
    it->second->timer.cancel();
}

asio::awaitable<void> PeerLink::answer(std::uint64_t id, Body request)
{
    const auto self = shared_from_this();
    auto reply = co_await handle(std::move(request));
    --m_runningRequests;
    auto payload = encodeMessage(Wire::Purpose::Response, id, reply);
    if (payload.size() > m_settings.maxFrameBytes) {
        const Core::Error large(Core::ErrorKind::BodyTooLarge,
                                "the response exceeds the maximum frame size");
        payload = encodeMessage(Wire::Purpose::Response, id, makeRefusal(large));
    }
    enqueue(std::move(payload));
}

asio::awaitable<Body> PeerLink::handle(Body request)
{
    if (!isKnown(request) || !m_handlers.onRequest) {
        ++m_counters.unknownMessages;
        co_return makeRefusal(
            Core::Error(Core::ErrorKind::UnknownRoute, "unknown kind of request"));
    }
    try {
        co_return co_await m_handlers.onRequest(m_peer, std::move(request));
    } catch (const Core::Error &error) {
        co_return makeRefusal(error);
    } catch (const std::exception &error) {
        co_return makeRefusal(Core::Error(Core::ErrorKind::Internal, error.what()));
    }
}

} // namespace Peer
