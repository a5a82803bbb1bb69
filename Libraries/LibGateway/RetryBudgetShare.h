#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Gateway {

/// What all instances together may send again to one service.
struct RetryBudgetLimits
{
    /// Repeats for each request of the window.
    double ratio = 0.1;
    /// Repeats of the window that are allowed besides, over all instances.
    double slack = 10;
    std::chrono::seconds window {10};
};

/// One instance's share of a service's repeats in a sliding window. Every instance takes the ratio
/// of its own requests and an equal part of the slack, so that no exchange is needed to keep the
/// bound while instances are cut off.
class RetryBudgetShare
{
public:
    /// A request of a caller came for the service.
    void noteRequest(Core::Clock::Monotonic now);
    /// Takes one repeat. False when this instance's share is used up. While the number of instances
    /// is not known, an instance has no part of the slack.
    bool tryRepeat(const RetryBudgetLimits &limits, std::optional<unsigned> instances,
                   Core::Clock::Monotonic now);

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
