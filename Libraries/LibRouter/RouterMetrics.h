#pragma once

#include <LibMetrics/Counter.h>
#include <LibMetrics/DurationHistogram.h>
#include <LibMetrics/RatioHistogram.h>
#include <LibMetrics/Registry.h>

namespace Router {

/// The request metrics of one instance. Safe from any thread.
class RouterMetrics
{
public:
    RouterMetrics();

    Metrics::DurationHistogram firstToken {"jujube_time_to_first_token_seconds",
                                           "Time from a request's arrival to its first token."};
    Metrics::DurationHistogram queueWait {"jujube_queue_wait_seconds",
                                          "Time a request waited for admission."};
    Metrics::DurationHistogram answerTime {"jujube_answer_seconds",
                                           "Time from a request's arrival to its answer's end."};
    Metrics::RatioHistogram prefixHit {"jujube_prefix_hit_ratio",
                                       "Share of a prompt's tokens that the engine had cached."};
    Metrics::Counter requests {"jujube_requests_total", "Requests by outcome.", "outcome"};
    Metrics::Counter refusals {"jujube_errors_total", "Errors returned to callers by kind.",
                               "kind"};
    Metrics::Counter promptTokens {"jujube_prompt_tokens_total",
                                   "Prompt tokens of complete answers."};
    Metrics::Counter cachedTokens {"jujube_cached_tokens_total",
                                   "Prompt tokens that engines had cached."};
    Metrics::Counter completionTokens {"jujube_completion_tokens_total", "Tokens generated."};
    Metrics::Counter resumed {"jujube_streams_resumed_total",
                              "Streams resumed at another upstream."};
    Metrics::Counter retries {"jujube_retries_total", "Attempts after the first."};

    std::string render() const { return m_registry.render(); }

private:
    Metrics::Registry m_registry;
};

} // namespace Router
