#pragma once

#include <LibCore/Error.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestLog.h>
#include <LibGateway/RequestPlan.h>
#include <LibGateway/UpstreamLoad.h>
#include <LibHttp/EventSplitter.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Gateway {

/// Carries one request of a caller: sends it to the upstreams that are planned for it, decides what
/// may be tried again, and brings the answer back. Lives as long as the request.
class RequestRelay
{
public:
    RequestRelay(Gateway &gateway, Http::ServerExchange &exchange);
    ~RequestRelay();
    RequestRelay(const RequestRelay &) = delete;
    RequestRelay &operator=(const RequestRelay &) = delete;

    boost::asio::awaitable<void> run();

private:
    /// How one attempt ended.
    enum class AttemptEnd {
        /// The caller has the whole answer.
        Answered,
        /// The upstream failed the request by its own answer, which is kept.
        ServerError,
        /// Nothing was sent.
        NotSent,
        /// The upstream states that it did not run the request.
        NotExecuted,
        /// Broken before any part of the answer reached the caller.
        Interrupted,
        /// Broken after events reached the caller.
        StreamInterrupted,
        /// Nobody waits any more: the caller left or its time is over.
        Cancelled,
    };
    enum class CancelReason {
        None,
        CallerDisconnected,
        DeadlineExpired,
    };
    /// Judges the request anew before another attempt; keeps its route when that is denied.
    std::optional<Refusal> reauthorize();
    void startTimers();
    void cancel(CancelReason reason);
    boost::asio::awaitable<void> runAttempts();
    bool mayStillSend();
    bool mayRetry(AttemptEnd end);
    boost::asio::awaitable<AttemptEnd> runAttempt();
    boost::asio::awaitable<AttemptEnd> sendToUpstream(UpstreamLoad &load);
    boost::asio::awaitable<AttemptEnd> relayAnswer(Http::ClientExchange &answer,
                                                   UpstreamLoad &load);
    boost::asio::awaitable<AttemptEnd> relayWhole(Http::ClientExchange &answer,
                                                  Http::Headers headers);
    boost::asio::awaitable<AttemptEnd> relayStream(Http::ClientExchange &answer,
                                                   Http::Headers headers, UpstreamLoad &load);
    void noteFirstToken(const UpstreamLoad &load);
    AttemptEnd noteInterrupted(const Core::Error &error);
    Http::Request upstreamRequest() const;
    boost::asio::awaitable<void> finish(AttemptEnd end);
    boost::asio::awaitable<void> refuse(const Refusal &refusal);
    boost::asio::awaitable<void> respondError(Core::ErrorKind kind, const std::string &reason,
                                              std::optional<std::chrono::milliseconds> retryAfter);
    /// Keeps new requests from an upstream that does not answer at its address.
    void noteUnreachable();
    void noteRefusedByUpstream(unsigned status, const AnswerHead &head);
    void noteAttempt(std::string_view end, const std::string &reason) const;
    std::chrono::milliseconds remainingTime() const;

    Gateway &m_gateway;
    Http::ServerExchange &m_exchange;
    AcceptedRequest m_request;
    /// Where the last attempt went or goes; none before the first.
    std::optional<RequestPlan> m_plan;
    std::set<Core::UpstreamId> m_excluded;
    /// Upstreams that may have run the request.
    unsigned m_executions = 0;
    RequestProgress m_progress;
    bool m_mayHaveExecuted = false;
    std::optional<Http::Response> m_errorResponse;
    Http::EventSplitter m_events;
    bool m_hasTimedOut = false;
    /// Whether the last attempt was given up before its first byte, as the choice was outdated.
    bool m_isPlanOutdated = false;
    CancelReason m_cancelReason = CancelReason::None;

    std::shared_ptr<Http::CallAbort> m_abort;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
    /// Tells callbacks that outlive the relay that it is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Gateway
