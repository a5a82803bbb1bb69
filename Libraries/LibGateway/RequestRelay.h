#pragma once

#include <LibCore/Error.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/UpstreamChooser.h>
#include <LibGateway/UpstreamLoad.h>
#include <LibHttp/EventSplitter.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// Why this instance does not serve a request.
struct Refusal
{
    Core::ErrorKind kind = Core::ErrorKind::NoUpstream;
    std::string reason;
    /// When the caller may come back; none when that would not help.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Carries one request of a caller: finds its route and team, chooses upstreams, sends it, and
/// brings the answer back. Lives as long as the request.
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
        FailedByUpstream,
        /// Nothing was sent.
        NotSent,
        /// The upstream states that it did not run the request.
        NotRun,
        /// Broken before any part of the answer reached the caller.
        Broken,
        /// Broken after events reached the caller.
        StreamBroken,
        /// Nobody waits any more: the caller left or its time is over.
        Ended,
    };
    enum class EndReason {
        None,
        CallerGone,
        TimeOver,
    };
    std::optional<Refusal> authorize();
    /// Judges the request anew before another attempt; keeps its route when that is denied.
    std::optional<Refusal> authorizeAgain();
    std::optional<Refusal> readRequest();
    void startTimers();
    void endWith(EndReason reason);
    boost::asio::awaitable<void> attempts();
    std::optional<Refusal> choose();
    std::optional<Refusal> chooseAmongEngines(const Service &service, ChoiceLimits limits);
    std::optional<Refusal> refuseSlowEngine(const EngineChoice &choice) const;
    bool mayStillSend();
    bool mayTryAgain(AttemptEnd end);
    boost::asio::awaitable<AttemptEnd> attempt();
    boost::asio::awaitable<AttemptEnd> exchangeWith(UpstreamLoad &load);
    boost::asio::awaitable<AttemptEnd> relayAnswer(Http::ClientExchange &answer,
                                                   UpstreamLoad &load);
    boost::asio::awaitable<AttemptEnd> relayWhole(Http::ClientExchange &answer,
                                                  Http::Headers headers);
    boost::asio::awaitable<AttemptEnd> relayStream(Http::ClientExchange &answer,
                                                   Http::Headers headers, UpstreamLoad &load);
    void learnFirstToken(const UpstreamLoad &load);
    AttemptEnd noteBroken(const Core::Error &error);
    Http::Request upstreamRequest() const;
    boost::asio::awaitable<void> finish(AttemptEnd end);
    boost::asio::awaitable<void> refuse(const Refusal &refusal);
    boost::asio::awaitable<void> respondError(Core::ErrorKind kind, const std::string &reason,
                                              std::optional<std::chrono::milliseconds> retryAfter);
    void logRefusal(const Refusal &refusal) const;
    void logServed() const;
    void logAttempt(std::string_view end, const std::string &reason) const;

    std::chrono::milliseconds left() const;
    std::string cacheScope() const;
    std::uint64_t memoryTokens() const;
    /// Tokens of the prompt's parts that other requests share.
    unsigned sharedTokens() const;
    /// Where the engine was told to fetch parts from, for the log.
    std::string fetchSource() const;
    bool shouldSave() const;
    /// The store of the session's parts; null when there is none that answers.
    PartStore *partStore() const;
    void noteRefusedByUpstream(unsigned status, const AnswerHead &head);
    Metrics::Labels labels() const;

    Gateway &m_gateway;
    Http::ServerExchange &m_exchange;
    Core::Clock::Monotonic m_arrival;
    Core::Clock::Monotonic m_deadline;
    CallerRequest m_request;
    ConfigurationState::Version m_configuration;
    const Route *m_route = nullptr;
    const Tenant *m_tenant = nullptr;
    std::string m_service;
    std::vector<PromptPart> m_parts;
    std::uint64_t m_digest = 0;

    std::shared_ptr<Upstream> m_upstream;
    std::optional<EngineChoice> m_engine;
    std::uint64_t m_storeHolder = 0;
    /// Whether the engine is told to save the prompt's parts, and for which weights.
    bool m_isSaving = false;
    std::uint64_t m_sentWeights = 0;
    std::set<Core::UpstreamId> m_excluded;
    /// Upstreams that may have run the request.
    unsigned m_runs = 0;
    unsigned m_sends = 0;
    bool m_mayHaveRun = false;
    std::optional<Http::Response> m_failure;
    std::optional<Core::Clock::Monotonic> m_firstByte;
    Http::EventSplitter m_events;
    bool m_hasTimedOut = false;
    EndReason m_endReason = EndReason::None;

    std::shared_ptr<Http::CallAbort> m_abort;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
    /// Tells callbacks that outlive the relay that it is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Gateway
