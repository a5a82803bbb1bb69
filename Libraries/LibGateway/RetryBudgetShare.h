#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>

namespace Gateway {

/// The limit on retries that all instances together may send to one service.
struct RetryBudgetLimits
{
    /// Retries per request within the window.
    double ratio = 0.1;
    /// Additional retries within the window, for all instances together.
    double slack = 10;
    std::chrono::seconds window {10};
};

/// The share of a service's retry budget that one instance may use in a sliding window. Each
/// instance uses the ratio of its own requests and a part of the slack, so the limit holds without
/// communication, even while instances are partitioned.
class RetryBudgetShare
{
public:
    /// Records a caller's request for the service.
    void noteRequest(Core::Clock::Monotonic now);
    /// Consumes one retry. Returns false if this instance's share is used up. The part of the slack
    /// that the share contains is between 0 and 1.
    bool tryRepeat(const RetryBudgetLimits &limits, double slackPart, Core::Clock::Monotonic now);

    /// The retries that count at a time, and how many may.
    struct Use
    {
        unsigned repeats = 0;
        double limit = 0;
    };
    Use use(const RetryBudgetLimits &limits, double slackPart, Core::Clock::Monotonic now) const;

private:
    struct SecondCounts
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned repeats = 0;
    };
    static constexpr std::size_t TrackedSeconds = 64;

    SecondCounts &countsAt(Core::Clock::Monotonic now);

    std::array<SecondCounts, TrackedSeconds> m_seconds;
};

} // namespace Gateway
