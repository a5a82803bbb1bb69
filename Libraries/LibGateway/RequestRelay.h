#pragma once

#include <LibCore/Error.h>
#include <LibGateway/AnswerEvidence.h>
#include <LibGateway/CallerOutput.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/LimitSearch.h>
#include <LibGateway/RequestLog.h>
#include <LibGateway/RequestPlan.h>
#include <LibGateway/RequestWait.h>
#include <LibGateway/UpstreamLoad.h>
#include <LibHttp/EventSplitter.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace Gateway {

/// Handles one request of a caller: sends it to the planned upstreams, decides whether to retry,
/// and relays the answer. Its lifetime is that of the request.
class RequestRelay
{
public:
    RequestRelay(Gateway &gateway, Http::ServerExchange &exchange);
    ~RequestRelay();
    RequestRelay(const RequestRelay &) = delete;
    RequestRelay &operator=(const RequestRelay &) = delete;

    boost::asio::awaitable<void> run();
    /// Ends the request, because the process is about to exit. run() then sends the last answer.
    void end();

private:
    /// The outcome of one attempt.
    enum class AttemptOutcome {
        /// The complete answer was relayed to the caller.
        Answered,
        /// The upstream answered with a server error, which is stored in m_errorResponse.
        ServerError,
        /// No data was sent.
        NotSent,
        /// The upstream states that it did not execute the request.
        NotExecuted,
        /// The upstream failed before any part of the answer was relayed.
        Interrupted,
        /// The prompt was taken out of the engine's queue, because it would have begun too late.
        Withdrawn,
        /// The upstream failed after part of the answer was relayed.
        StreamInterrupted,
        /// The caller disconnected, the deadline expired or the instance stops.
        Cancelled,
    };
    enum class CancelReason {
        None,
        CallerDisconnected,
        DeadlineExpired,
        InstanceStops,
    };
    /// Authorizes the request again before another attempt. If that is denied, the previous route
    /// and tenant stay set.
    std::optional<Refusal> reauthorize();
    /// Spends the request's part of its team's usage cap. Returns a refusal if the cap is reached.
    boost::asio::awaitable<std::optional<Refusal>> spendQuota();
    /// Gives that part back if no upstream may have executed the request.
    void returnUnusedQuota();
    void startTimers();
    void cancel(CancelReason reason);
    boost::asio::awaitable<void> runAttempts();
    /// Plans an attempt. If an engine is chosen, enters the prompt in its queue; if that is longer
    /// than known, the choice is repeated.
    boost::asio::awaitable<std::variant<RequestPlan, Refusal>> plan();
    /// Reserves the sending of the request to an upstream that limits the rate of its requests, and
    /// waits until its time. Returns whether there is one.
    boost::asio::awaitable<bool> awaitPermit(LimitSearch &search, const RequestPlan &plan);
    /// Plans the first attempt. If there is no capacity, the request waits for it if it may.
    boost::asio::awaitable<std::variant<RequestPlan, Refusal>> planOrWait();
    /// Waits until the request can be sent, or has to be refused or ended.
    boost::asio::awaitable<std::variant<RequestPlan, Refusal>>
    waitForCapacity(const Refusal &first);
    /// Returns a refusal if the instance stops, or if a changed configuration denies the request.
    std::optional<Refusal> checkWhileWaiting();
    /// Returns whether the request may wait for capacity: nothing of it was sent.
    bool mayWait() const;
    bool mayStillSend();
    /// Returns a refusal if a request that no upstream may have executed might not be answered
    /// before the instance stops.
    std::optional<Refusal> refuseForStop() const;
    /// Returns whether the engine's weights are too old to begin to answer now.
    bool isTooLateToBegin() const;
    /// Withdraws the request when its engine has not begun in time. Newer weights may be named
    /// while it waits, so this checks again until the first token.
    void watchBegin();
    void withdraw();
    /// Returns whether the request may be sent again after an attempt, apart from the budget.
    bool mayRetry(AttemptOutcome end);
    /// Returns whether the retry budget of the plan's service, which may not be that of the attempt
    /// before, allows the plan. Consumes one retry for each attempt that reaches an upstream.
    bool isWithinBudget(const RequestPlan &plan);
    /// Returns whether the route allows an upstream to execute the request, after those that may
    /// have.
    bool mayExecute() const;
    boost::asio::awaitable<AttemptOutcome> runAttempt();
    boost::asio::awaitable<AttemptOutcome> sendToUpstream(UpstreamLoad &load);
    boost::asio::awaitable<AttemptOutcome> relayAnswer(Http::ClientExchange &answer,
                                                       UpstreamLoad &load);
    boost::asio::awaitable<AttemptOutcome> relayWhole(Http::ClientExchange &answer,
                                                      Http::Headers headers, UpstreamLoad &load);
    /// Relays an answer as it arrives, because there is no room to hold it until its end.
    boost::asio::awaitable<AttemptOutcome> relayUnheld(Http::ClientExchange &answer,
                                                       Http::Response begin, std::string next);
    boost::asio::awaitable<AttemptOutcome> relayStream(Http::ClientExchange &answer,
                                                       Http::Headers headers, UpstreamLoad &load);
    boost::asio::awaitable<void> startStream(unsigned status, Http::Headers headers);
    /// Reads the rest of an answer that is not relayed, or closes the connection if it is long.
    boost::asio::awaitable<void> discardBody(Http::ClientExchange &answer);
    void noteFirstToken(const UpstreamLoad &load);
    /// Records the weights on which the engine began to answer, and their age.
    void noteWeightsUsed();
    /// Records how long the prompt waited at its engine.
    void noteWait(EngineModel::Milliseconds untilFirstToken);
    AttemptOutcome noteInterrupted(const Core::Error &error);
    /// Returns the headers of a request that is sent now.
    Http::Headers upstreamHeaders() const;
    boost::asio::awaitable<void> finish(AttemptOutcome end);
    boost::asio::awaitable<void> refuse(const Refusal &refusal);
    boost::asio::awaitable<void> respondError(Core::ErrorKind kind, const std::string &reason,
                                              std::optional<std::chrono::milliseconds> retryAfter);
    /// Pauses an upstream that could not be reached, and reports it to siblings.
    void noteUnreachable();
    /// Records what the answer states about the upstream itself.
    void noteUpstreamState(const AnswerHead &head);
    void noteRefusedByUpstream(unsigned status, const AnswerHead &head);
    /// Returns what ended a request that failed, for the log.
    std::string endedBy() const;
    void noteAttempt(std::string_view end, const std::string &reason) const;
    std::chrono::milliseconds remainingTime() const;

    Gateway &m_gateway;
    Http::ServerExchange &m_exchange;
    CallerOutput m_output;
    std::shared_ptr<Gateway::ActiveRequests> m_activeRequests;
    AcceptedRequest m_request;
    /// The plan of the current or last attempt; empty before the first.
    std::optional<RequestPlan> m_plan;
    std::set<Core::UpstreamId> m_excluded;
    /// Where the request was sent. Several upstreams may be listed at one address while one of them
    /// has left.
    std::set<Http::Endpoint> m_triedEndpoints;
    /// The entry in the queue of the planned engine; null if there is none.
    std::unique_ptr<QueuePlace> m_place;
    /// The permission to send to an upstream that limits the rate of its requests.
    std::optional<RatePermit> m_permit;
    /// Runs until the time of the permit; null otherwise.
    std::unique_ptr<boost::asio::steady_timer> m_sendTimer;
    /// The request's place in the queue of this instance while it waits for capacity, else null.
    std::unique_ptr<RequestWait> m_wait;
    /// How long it has waited.
    std::chrono::nanoseconds m_waited {0};
    /// Whether an attempt has reached an upstream, and the service whose retry budget allowed the
    /// next one.
    bool m_isRetry = false;
    std::string m_budgetedService;
    /// Those of the incarnation that the last attempt was sent to.
    std::shared_ptr<UpstreamNotices> m_notices;
    /// Number of attempts that an upstream may have executed.
    unsigned m_executions = 0;
    /// How many upstreams failed during the request.
    unsigned m_failures = 0;
    RequestProgress m_progress;
    /// Set while the prompt is at an engine, and after that.
    /// Set from the first attempt on.
    std::optional<AnswerEvidence> m_evidence;
    /// The part of the team's usage cap that was spent.
    std::string m_quotaTeam;
    double m_quotaUnits = 0;
    bool m_mayHaveExecuted = false;
    std::optional<Http::Response> m_errorResponse;
    Http::EventSplitter m_events;
    /// The status and headers with which the caller's stream began.
    unsigned m_streamStatus = 0;
    Http::Headers m_streamHeaders;
    bool m_hasTimedOut = false;
    /// Whether the last attempt was cancelled because the plan was outdated, before its first byte
    /// was sent or before the engine began to answer.
    bool m_isPlanOutdated = false;
    /// Runs while the prompt waits at its engine; null otherwise.
    std::unique_ptr<boost::asio::steady_timer> m_beginTimer;
    CancelReason m_cancelReason = CancelReason::None;

    std::shared_ptr<Http::CallAbort> m_abort;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
    /// False once the relay is destroyed, for callbacks that outlive it.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Gateway
