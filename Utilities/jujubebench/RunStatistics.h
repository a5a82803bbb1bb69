#pragma once

#include "EventQueue.h"

#include <cstdint>
#include <vector>

namespace Bench {

/// What was seen of one request.
struct RequestOutcome
{
    EventQueue::Duration arrival {0};
    EventQueue::Duration firstToken {0};
    bool isUrgent = true;
    bool isAnswered = false;
    std::uint64_t promptTokens = 0;
    /// Reported with the first token, summed over attempts like promptTokens.
    std::uint64_t cachedTokens = 0;
    std::uint32_t attempts = 0;
};

/// Outcomes of one run of one policy and the figures drawn from them.
class RunStatistics
{
public:
    /// One row a request, in arrival order.
    std::vector<RequestOutcome> outcomes;

    /// Cached share of the prompt tokens of requests that arrived in [from, to).
    double hitRate(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Tokens prefilled in place of being found cached, for requests that arrived in [from, to).
    std::uint64_t recomputedTokens(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Prompt tokens of requests that arrived in [from, to).
    std::uint64_t promptTokens(EventQueue::Duration from, EventQueue::Duration to) const;
    /// The share-th smallest time to first token of the requests that arrived in [from, to);
    /// those never answered count as the longest.
    std::chrono::duration<double> firstTokenQuantile(double share, EventQueue::Duration from,
                                                     EventQueue::Duration to,
                                                     bool isUrgentOnly = false) const;
    /// Requests without a first token.
    std::size_t unanswered() const;
    /// The time from the event until the hit rate of the arrivals within a window reaches the
    /// level; the rest of the run if it never does.
    std::chrono::duration<double> recoveryTime(EventQueue::Duration event, double level,
                                               EventQueue::Duration window,
                                               EventQueue::Duration end) const;
};

} // namespace Bench
