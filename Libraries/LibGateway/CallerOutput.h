#pragma once

#include <LibGateway/Gateway.h>
#include <LibHttp/AnswerBuffer.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// Sends the answer of one request to its caller. While GatewaySettings::isMemoryScarce, it holds
/// what the caller has not read in memory, so that the upstream need not wait for the caller and
/// counts as free once its answer was read; settle() then sends the rest.
class CallerOutput
{
public:
    CallerOutput(Gateway &gateway, Http::ServerExchange &exchange);

    /// Sends a complete response, or keeps it for settle().
    boost::asio::awaitable<void> respond(Http::Response response, bool isRepeatable);
    /// Sends the head of a stream. The hook is called if the caller's connection fails.
    boost::asio::awaitable<void> startStream(unsigned status, Http::Headers headers,
                                             bool isRepeatable, std::function<void()> onFailure);
    boost::asio::awaitable<void> write(std::string chunk);
    /// Writes bytes for which memory is reserved at the exchange.
    boost::asio::awaitable<void> writeReserved(std::string bytes);
    /// Ends the stream, or notes that it ends after what is held.
    boost::asio::awaitable<void> finishStream();

    /// Closes the caller's connection if a stream has begun and is not finished, whatever the
    /// caller has not read of it; a pending write fails.
    void cutUnfinished();
    /// Sends what is held. An answer that was not finished stays without an end.
    boost::asio::awaitable<void> settle();
    /// Limits the time for sending what is held: the request has ended.
    void limitTime(std::chrono::milliseconds limit);
    /// Discards what is held, and returns when the exchange is no longer used.
    boost::asio::awaitable<void> stop();

    /// The longest time for sending what is held after the end of the request; that of a server for
    /// a whole answer.
    static constexpr std::chrono::milliseconds SettleTime {30'000};

private:
    bool isHolding() const;

    Gateway &m_gateway;
    Http::ServerExchange &m_exchange;
    std::unique_ptr<Http::AnswerBuffer> m_buffer;
    std::optional<Http::Response> m_response;
    bool m_isRepeatable = false;
    bool m_isStream = false;
    bool m_isFinished = false;
};

} // namespace Gateway
