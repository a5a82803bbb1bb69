#include <LibCore/Error.h>
#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibPeer/FrameStream.h>

#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/system_error.hpp>

#include <array>

namespace Peer {

namespace asio = boost::asio;

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TagBytes = 16;
constexpr std::size_t MaxHandshakeFrameBytes = 4'096;

void putNumber(std::string &out, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t n = bytes; n > 0; --n)
        out.push_back(static_cast<char>(number >> (8 * (n - 1))));
}

std::string frameTag(const std::string &key, std::uint64_t number, std::string_view payload)
{
    std::string text;
    text.reserve(sizeof(number) + payload.size());
    putNumber(text, number, sizeof(number));
    text.append(payload);
    return Core::hmacSha256(key, text).substr(0, TagBytes);
}

Core::Error invalidFrame(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::FrameInvalid, detail);
}

} // namespace

Watchdog::Watchdog(const std::shared_ptr<FrameStream> &stream, std::chrono::milliseconds limit)
    : m_timer(stream->socket().get_executor(), limit)
{
    // An expired timer's handler may be queued already when the watchdog is destroyed.
    m_timer.async_wait([guard = std::weak_ptr(m_armed),
                        weak = std::weak_ptr(stream)](boost::system::error_code ec) {
        const auto stream = weak.lock();
        if (!ec && stream && !guard.expired())
            stream->close();
    });
}

FrameStream::FrameStream(asio::ip::tcp::socket socket, PeerCounters &counters)
    : m_socket(std::move(socket))
    , m_counters(counters)
{ }

asio::awaitable<std::string> FrameStream::read(std::size_t maxBytes)
{
    std::array<unsigned char, LengthBytes> head {};
    co_await asio::async_read(m_socket, asio::buffer(head), asio::use_awaitable);
    std::size_t length = 0;
    for (const auto byte : head)
        length = length << 8 | byte;
    const auto tagBytes = m_keys ? TagBytes : 0;
    if (length < tagBytes || length > maxBytes + tagBytes)
        throw invalidFrame("invalid frame size of " + std::to_string(length) + " bytes");
    std::string payload(length, '\0');
    co_await asio::async_read(m_socket, asio::buffer(payload), asio::use_awaitable);
    m_counters.bytesReceived += LengthBytes + length;
    if (!m_keys)
        co_return payload;
    const auto tag = payload.substr(length - TagBytes);
    payload.resize(length - TagBytes);
    if (!Core::equalInConstantTime(tag, frameTag(m_keys->receiving, m_received, payload)))
        throw invalidFrame("a frame failed authentication");
    ++m_received;
    co_return payload;
}

asio::awaitable<void> FrameStream::write(std::string payload)
{
    std::string frame;
    const auto tagBytes = m_keys ? TagBytes : 0;
    frame.reserve(LengthBytes + payload.size() + tagBytes);
    putNumber(frame, payload.size() + tagBytes, LengthBytes);
    frame.append(payload);
    if (m_keys)
        frame.append(frameTag(m_keys->sending, m_sent++, payload));
    co_await asio::async_write(m_socket, asio::buffer(frame), asio::use_awaitable);
    m_counters.bytesSent += frame.size();
}

void FrameStream::close()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
}

namespace {

asio::awaitable<PeerIdentity> exchange(FrameStream &stream, Handshake &handshake, Role role)
{
    if (role == Role::Client)
        co_await stream.write(handshake.hello());
    const auto hello = co_await stream.read(MaxHandshakeFrameBytes);
    // Sent before the other hello is checked, so that both sides detect incompatible versions.
    if (role == Role::Server)
        co_await stream.write(handshake.hello());
    auto peer = handshake.readHello(hello).value();
    if (role == Role::Client)
        co_await stream.write(handshake.proof());
    const auto proof = co_await stream.read(MaxHandshakeFrameBytes);
    if (!handshake.verifyProof(proof))
        throw Core::Error(Core::ErrorKind::PeerRejected, "the proof is invalid");
    if (role == Role::Server)
        co_await stream.write(handshake.proof());
    stream.setKeys(handshake.frameKeys());
    co_return peer;
}

void noteFailure(const Handshake &handshake, const std::string &detail, PeerCounters &counters)
{
    if (handshake.incompatible()) {
        ++counters.incompatible;
        Core::logEvent(Core::EventId::PeerIncompatible, {{"detail", detail}});
        return;
    }
    ++counters.rejected;
    Core::logEvent(Core::EventId::PeerRejected, {{"detail", detail}});
}

} // namespace

asio::awaitable<PeerIdentity> performHandshake(std::shared_ptr<FrameStream> stream,
                                               const PeerSettings &settings, Role role,
                                               PeerCounters &counters)
{
    Handshake handshake(settings, role);
    const Watchdog watchdog(stream, settings.handshakeTimeout);
    try {
        co_return co_await exchange(*stream, handshake, role);
    } catch (const Core::Error &error) {
        noteFailure(handshake, error.detail(), counters);
        throw;
    } catch (const boost::system::system_error &error) {
        noteFailure(handshake, error.code().message(), counters);
        throw Core::Error(Core::ErrorKind::PeerRejected,
                          "the connection was closed during the handshake");
    }
}

} // namespace Peer
