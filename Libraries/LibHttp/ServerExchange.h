#pragma once

#include <LibCore/Error.h>
#include <LibHttp/BodyBudget.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace Http {

/// One request and its response. The handler sends either a complete response or a stream.
/// All functions must be called on the thread that runs the connection.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    const Request &request() const { return m_request; }
    /// Whether the response headers were sent, so that no other response can follow.
    bool hasStarted() const { return m_started; }
    /// Whether the caller has closed its connection.
    bool isCallerGone() const { return m_callerGone; }
    /// Sets a callback that is called once if the caller closes its connection early.
    void setCallerGoneHook(std::function<void()> hook) { m_callerGoneHook = std::move(hook); }

    /// Reserves memory for that many bytes of a response that the handler holds, in place of those
    /// reserved before. Returns false, and changes nothing, if there is no room for them.
    bool reserve(std::size_t bytes);
    /// Returns the memory that reserve() has obtained; the exchange no longer holds it.
    BodyBudget::Share takeReserved();
    /// Returns the budget of that memory; null if there is no limit.
    const std::shared_ptr<BodyBudget> &bodyBudget() const { return m_bodyShare.budget(); }

    /// Sends a complete response.
    virtual boost::asio::awaitable<void> respond(Response response) = 0;
    /// Sends the status line and headers of a chunked response.
    virtual boost::asio::awaitable<void> startStream(unsigned status, Headers headers) = 0;
    /// Sends one chunk. Throws when the caller has disconnected or accepts no data for too long.
    virtual boost::asio::awaitable<void> write(std::string chunk) = 0;
    /// Ends a chunked response.
    virtual boost::asio::awaitable<void> finishStream() = 0;
    /// Closes the caller's connection so that the response does not look complete; a pending write
    /// fails.
    virtual void drop() = 0;

protected:
    void noteCallerGone();

    Request m_request;
    /// Memory for the body of the request, and for a response that is held.
    BodyBudget::Share m_bodyShare;
    BodyBudget::Share m_reserved;
    bool m_started = false;
    bool m_callerGone = false;

private:
    std::function<void()> m_callerGoneHook;
};

/// Returns the response for an error, with Retry-After if errorKindTable() has one.
Response errorResponse(const Core::Error &error);

/// Returns a complete JSON response.
Response jsonResponse(unsigned status, std::string body);

} // namespace Http
