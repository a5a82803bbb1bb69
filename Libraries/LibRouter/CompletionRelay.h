#pragma once

#include <LibRouter/AdmissionGate.h>
#include <LibRouter/CompletionAttempt.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Router {

/// Answers one completion call: tries engines one after the other until the answer is complete, and
/// resumes an interrupted stream at the next engine.
class CompletionRelay
{
public:
    /// The exchange and the instance must outlive the relay.
    CompletionRelay(Instance &instance, Http::ServerExchange &exchange, CallContext context,
                    CompletionCall call, const Configuration::Model &model);

    /// Throws Core::Error when the call is refused before anything has run.
    boost::asio::awaitable<void> run();

private:
    /// The result of one attempt.
    enum class AttemptOutcome {
        Complete,
        TryNext,
        GiveUp,
    };

    /// Determines to which upstreams a request may be sent.
    enum class UpstreamFilter {
        /// Upstreams without recent failures; a suspect request shares none with another suspect
        /// request.
        Isolated,
        /// Upstreams without recent failures.
        Healthy,
        AnyLive,
    };

    boost::asio::awaitable<AttemptOutcome> tryEngines();
    boost::asio::awaitable<AdmissionSlot> admit();
    Accounting::TokenCounts usedTokens() const;
    bool mayRetry();
    boost::asio::awaitable<AttemptOutcome> attempt(UpstreamPtr upstream,
                                                   Placement::Decision decision);
    std::optional<Placement::Decision> choose(const UpstreamGroupView &group);
    bool isSkipped(const Upstream &upstream, UpstreamFilter filter) const;
    CompletionAttempt::Options attemptOptions(const Placement::Decision &decision, bool &hasToken);
    void noteCrash(const Upstream &upstream, std::uint64_t incarnation);
    AttemptOutcome noteFailure(Upstream &upstream, const Core::Error &error);
    void noteSuccess(Upstream &upstream, const Placement::Decision &decision);
    void record(std::string_view outcome);
    Core::Error finalError() const;

    Instance &m_instance;
    Http::ServerExchange &m_exchange;
    CallContext m_context;
    CompletionCall m_call;
    const Configuration::Model &m_model;
    Placement::PromptBlocks m_blocks;
    std::unique_ptr<AnswerSink> m_sink;
    AnswerProgress m_progress;
    std::vector<Placement::UpstreamSlot> m_tried;
    /// The last failure, with the execution status of all attempts so far.
    std::optional<Core::Error> m_lastError;
    Admission::Grant m_grant;
    bool m_isSuspect = false;
};

} // namespace Router
