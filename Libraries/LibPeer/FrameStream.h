#pragma once

#include <LibPeer/Handshake.h>
#include <LibPeer/PeerSettings.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Peer {

/// Length-prefixed frames on a TCP socket: four bytes of length in big-endian order, then that many
/// bytes. After setKeys() the last 16 of them are an HMAC over the frame's number in its direction
/// and the payload, so that a modified, repeated or missing frame ends the link. Content
/// is authenticated, not encrypted. One reader and one writer at a time, on the socket's strand.
class FrameStream
{
public:
    FrameStream(boost::asio::ip::tcp::socket socket, PeerCounters &counters);

    /// Enables the authentication of all following frames.
    void setKeys(FrameKeys keys) { m_keys = std::move(keys); }

    /// Reads one frame's payload. Throws Error(FrameInvalid) for a frame that is too large or
    /// fails authentication, and boost::system::system_error when the connection ends.
    boost::asio::awaitable<std::string> read(std::size_t maxBytes);

    /// Writes one frame. Throws boost::system::system_error when the connection ends.
    boost::asio::awaitable<void> write(std::string payload);

    /// Ends the connection; pending reads and writes fail. May be called again.
    void close();

    boost::asio::ip::tcp::socket &socket() { return m_socket; }

private:
    boost::asio::ip::tcp::socket m_socket;
    PeerCounters &m_counters;
    std::optional<FrameKeys> m_keys;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

/// Closes a stream unless the watchdog is destroyed before the timeout.
class Watchdog
{
public:
    Watchdog(const std::shared_ptr<FrameStream> &stream, std::chrono::milliseconds limit);

private:
    std::shared_ptr<bool> m_armed = std::make_shared<bool>(true);
    boost::asio::steady_timer m_timer;
};

/// Runs the handshake in the given role and sets the stream's frame keys. Counts and logs a
/// failure, then throws Error(PeerRejected) or Error(FrameInvalid); a connection that ends or
/// takes longer than the handshake timeout is Error(PeerRejected) too.
boost::asio::awaitable<PeerIdentity> performHandshake(std::shared_ptr<FrameStream> stream,
                                                      const PeerSettings &settings, Role role,
                                                      PeerCounters &counters);

} // namespace Peer
