#pragma once

#include <LibPeer/FrameStream.h>
#include <LibPeer/PeerMessage.h>
#include <LibPeer/PeerSettings.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Peer {

/// Handlers of the messages that arrive on a link. They run on the link's strand.
struct PeerHandlers
{
    /// Returns the response to a request. An Error that it throws is sent as a Refusal.
    std::function<boost::asio::awaitable<Body>(PeerIdentity peer, Body request)> onRequest;
    /// Handles a one-way message. Must not block.
    std::function<void(const PeerIdentity &peer, Body message)> onMessage;
};

/// An authenticated connection with one sibling, on which both sides send requests and one-way
/// messages. The public functions are safe from any thread.
///
/// There are no heartbeats: with links between 340 nodes they would use up the bandwidth for
/// control traffic. A frozen peer, or a path that fails in one direction, is detected when a
/// request times out; if no frame arrived in the meantime, the link is closed, so that the next one
/// opens a new one.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /// Creates a link on a stream after its handshake. Settings and counters must outlive it.
    static std::shared_ptr<PeerLink> create(std::shared_ptr<FrameStream> stream, PeerIdentity peer,
                                            PeerHandlers handlers, const PeerSettings &settings,
                                            PeerCounters &counters);

    const PeerIdentity &peer() const { return m_peer; }

    /// Starts reading and writing, which keeps the link alive until its connection ends.
    void start(Role role);

    /// Sends a request and waits for the response. Throws Error(PeerUnavailable) when none arrives
    /// within the timeout, the link is closed or its queue is full. The peer may have processed the
    /// request nevertheless.
    boost::asio::awaitable<Body> request(Body body, std::chrono::milliseconds timeout);

    /// Sends a one-way message. It is dropped and counted when the link's queue is full.
    void send(Body body);

    /// Closes the connection. Pending requests fail.
    void close();

    bool isOpen() const { return m_open; }

private:
    struct Waiting
    {
        explicit Waiting(const boost::asio::any_io_executor &executor)
            : timer(executor)
        { }
        boost::asio::steady_timer timer;
        std::optional<Body> reply;
    };

    PeerLink(std::shared_ptr<FrameStream> stream, PeerIdentity peer, PeerHandlers handlers,
             const PeerSettings &settings, PeerCounters &counters);

    boost::asio::awaitable<Body> requestOnStrand(Body body, std::chrono::milliseconds timeout);
    boost::asio::awaitable<void> readLoop(Role role);
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> answer(std::uint64_t id, Body request);
    boost::asio::awaitable<Body> handle(Body request);
    void receive(const std::string &payload);
    void receiveRequest(std::uint64_t id, Body body);
    void receiveResponse(std::uint64_t id, Body body);
    bool enqueue(std::string payload);
    void closeOnStrand();

    std::shared_ptr<FrameStream> m_stream;
    const PeerIdentity m_peer;
    const PeerHandlers m_handlers;
    const PeerSettings &m_settings;
    PeerCounters &m_counters;
    boost::asio::any_io_executor m_executor;
    std::atomic<bool> m_open {true};
    std::uint64_t m_lastId = 0;
    std::uint64_t m_framesReceived = 0;
    std::size_t m_runningRequests = 0;
    std::size_t m_queuedBytes = 0;
    std::deque<std::string> m_queue;
    boost::asio::steady_timer m_writable;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting;
};

} // namespace Peer
