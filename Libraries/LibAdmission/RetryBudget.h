#pragma once

#include <LibCore/Clock.h>

#include <atomic>
#include <cstdint>

namespace Admission {

/// The limits for the retries of one upstream group.
struct RetryBudgetSettings
{
    /// Retries earned per successful request.
    double share = 0.1;
    /// Retries earned per second regardless of traffic, for groups with few requests.
    double minPerSecond = 1;
    /// The maximum number of retries that can accumulate.
    std::uint32_t burst = 20;
};

/// Limits the retries of one upstream group to a share of its recent successes, so that retries do
/// not multiply the load on failing upstreams. Thread-safe and lock-free.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Records that an upstream of the group answered a request.
    void noteSuccess();
    /// Takes one retry from the budget. Returns false if none is left; the caller then returns the
    /// error of the first attempt.
    bool tryRetry(Core::Clock::Monotonic now);

private:
    void add(std::int64_t amount);
    void addForElapsedTime(Core::Clock::Monotonic now);

    const std::int64_t m_unitsPerSuccess;
    const double m_unitsPerNanosecond;
    const std::int64_t m_maxBalance;
    /// The budget left, in thousandths of a retry.
    std::atomic<std::int64_t> m_balance;
    std::atomic<Core::Clock::Monotonic::rep> m_lastRefill {0};
};

} // namespace Admission
