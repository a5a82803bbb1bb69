#pragma once

#include <LibCore/Error.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace Http {

/// One request and the answer to it. The handler answers either whole or as a stream.
/// All calls belong to the thread that runs the connection.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    const Request &request() const { return m_request; }
    /// Whether the head of an answer was sent, so that no other answer can follow.
    bool hasStarted() const { return m_started; }
    /// Whether the caller has closed its connection.
    bool isCallerGone() const { return m_callerGone; }
    /// Sets a hook that is called once when the caller closes its connection early.
    void setCallerGoneHook(std::function<void()> hook) { m_callerGoneHook = std::move(hook); }

    /// Sends a whole answer.
    virtual boost::asio::awaitable<void> respond(Response response) = 0;
    /// Sends the head of a chunked answer.
    virtual boost::asio::awaitable<void> startStream(unsigned status, Headers headers) = 0;
    /// Sends one chunk. Throws when the caller is gone or takes no data for too long.
    virtual boost::asio::awaitable<void> write(std::string chunk) = 0;
    /// Ends a chunked answer.
    virtual boost::asio::awaitable<void> finishStream() = 0;

protected:
    void noteCallerGone();

    Request m_request;
    bool m_started = false;
    bool m_callerGone = false;

private:
    std::function<void()> m_callerGoneHook;
};

/// The answer for an error of the closed list, with Retry-After where the table has one.
Response errorResponse(const Core::Error &error);

/// A whole JSON answer.
Response jsonResponse(unsigned status, std::string body);

} // namespace Http
