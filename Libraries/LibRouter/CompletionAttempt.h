#pragma once

#include <LibRouter/AnswerSink.h>
#include <LibRouter/CallContext.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Router {

/// The progress of the answer to one call, over all its attempts.
struct AnswerProgress
{
    /// The number of tokens forwarded, which is also the index of the next expected token.
    std::uint64_t tokens = 0;
    std::optional<std::uint64_t> promptTokens;
    std::optional<std::uint64_t> cachedTokens;
    bool isComplete = false;
    std::optional<Core::Clock::Monotonic> firstTokenAt;
};

/// Thrown when an upstream refuses work because it is leaving. Nothing has run.
struct UpstreamDraining
{ };

/// Sends a call to one engine and forwards its tokens, resuming at the current position of the
/// answer.
class CompletionAttempt
{
public:
    /// Parameters of the engine's request, and a callback for the attempt's first token.
    struct Options
    {
        std::uint64_t maxTokens = 0;
        int priority = 0;
        std::function<void()> firstToken;
    };

    CompletionAttempt(Instance &instance, const CallContext &context, const CompletionCall &call,
                      const Configuration::Model &model, Options options);

    /// Returns with progress.isComplete set, or throws Core::Error for the upstream's failures,
    /// UpstreamDraining, or boost::system::system_error when the caller has disconnected.
    boost::asio::awaitable<void> run(UpstreamPtr upstream, std::string attemptId, AnswerSink &sink,
                                     AnswerProgress &progress);

private:
    boost::asio::awaitable<void> relay(Http::ClientExchange &answer, const std::string &attemptId,
                                       AnswerSink &sink, AnswerProgress &progress);
    boost::asio::awaitable<void> handleChunk(const CompletionChunk &chunk, AnswerSink &sink,
                                             AnswerProgress &progress);
    Http::Request engineRequest(const std::string &attemptId, const AnswerProgress &progress) const;
    Http::ClientTimeouts timeouts() const;

    Instance &m_instance;
    const CallContext &m_context;
    const CompletionCall &m_call;
    const Configuration::Model &m_model;
    Options m_options;
    bool m_hasToken = false;
};

} // namespace Router
