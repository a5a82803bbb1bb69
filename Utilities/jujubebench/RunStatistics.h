#pragma once

#include "EventQueue.h"

#include <cstdint>
#include <vector>

namespace Bench {

/// Records the outcome of one request.
struct RequestOutcome
{
    EventQueue::Duration arrival {0};
    EventQueue::Duration firstToken {0};
    bool isUrgent = true;
    bool isAnswered = false;
    std::uint64_t promptTokens = 0;
    /// Cached tokens reported with the first token, summed over attempts like promptTokens.
    std::uint64_t cachedTokens = 0;
    std::uint32_t attempts = 0;
};

/// Holds the outcomes of one run of one policy and computes statistics over them.
class RunStatistics
{
public:
    /// One entry per request, in arrival order.
    std::vector<RequestOutcome> outcomes;

    /// Returns the cached share of the prompt tokens of requests that arrived in [from, to).
    double hitRate(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Returns the prompt tokens that were prefilled because they were not cached, for requests
    /// that arrived in [from, to).
    std::uint64_t recomputedTokens(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Returns the prompt tokens of requests that arrived in [from, to).
    std::uint64_t promptTokens(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Returns the quantile `share` of the time to first token of the requests that arrived in
    /// [from, to). Unanswered requests count as the longest.
    std::chrono::duration<double> firstTokenQuantile(double share, EventQueue::Duration from,
                                                     EventQueue::Duration to,
                                                     bool isUrgentOnly = false) const;
    /// Returns the number of requests without a first token.
    std::size_t unanswered() const;
    /// Returns the time from the event until the hit rate of the arrivals within a window reaches
    /// the level, or the rest of the run if it never does.
    std::chrono::duration<double> recoveryTime(EventQueue::Duration event, double level,
                                               EventQueue::Duration window,
                                               EventQueue::Duration end) const;
};

} // namespace Bench
