#pragma once

#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Http {

/// The answer to a request that was sent. Destroying it before the body's end closes the
/// connection, by which the server learns that nobody waits any more.
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    virtual unsigned status() const = 0;
    virtual const Headers &headers() const = 0;
    /// The next piece of the body as it comes, or nothing at its proper end. Throws
    /// Error(UpstreamFailed) when the connection breaks before it, UpstreamTimedOut when nothing
    /// comes in time, UpstreamAnswerMalformed for broken chunking.
    virtual boost::asio::awaitable<std::optional<std::string>> readSome() = 0;
    /// Changes how long readSome() waits for the next piece.
    virtual void setBodyTimeout(std::chrono::milliseconds limit) = 0;
    /// Closes the connection; a pending readSome() fails. For the thread that reads.
    virtual void abort() = 0;
};

} // namespace Http
