#pragma once

#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Http {

/// The response to a request. Destroying it before the end of the body closes the connection, which
/// signals to the server that the request was cancelled.
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    virtual unsigned status() const = 0;
    virtual const Headers &headers() const = 0;
    /// Whether the connection carried no earlier response. Only then is it certain without a mark
    /// in the response that it belongs to this request: on a reused connection it may be a surplus
    /// response to an earlier one.
    virtual bool isFirstOnConnection() const = 0;
    /// Returns the next bytes of the body, or nothing at its end. Throws Error(UpstreamFailed) when
    /// the connection is lost before the end, UpstreamTimedOut when nothing arrives in time, and
    /// UpstreamAnswerMalformed for an invalid chunked encoding.
    virtual boost::asio::awaitable<std::optional<std::string>> readSome() = 0;
    /// Changes how long readSome() waits for the next bytes.
    virtual void setBodyTimeout(std::chrono::milliseconds limit) = 0;
    /// Closes the connection; a pending readSome() fails. Must run on the reading thread.
    virtual void abort() = 0;
};

} // namespace Http
