#pragma once

#include <LibCore/Clock.h>

#include <atomic>
#include <cstdint>

namespace Admission {

/// How many retries a group allows.
struct RetryBudgetSettings
{
    /// Retries for each recent success.
    double share = 0.1;
    /// Retries that are always allowed in a second, for groups with little traffic.
    double minPerSecond = 1;
    /// The most retries that unused budget adds up to.
    std::uint32_t burst = 20;
};

/// Bounds the retries of one upstream group to a share of its recent successes, so that failing
/// upstreams do not get a multiple of their load. Safe from any thread, without locks.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// An upstream of the group answered a request.
    void noteSuccess();
    /// Takes one retry out of the budget. False when there is none; the error of the first attempt
    /// is then the answer.
    bool tryRetry(Core::Clock::Monotonic now);

private:
    void add(std::int64_t amount);
    void addForElapsedTime(Core::Clock::Monotonic now);

    const std::int64_t m_unitsPerSuccess;
    const double m_unitsPerNanosecond;
    const std::int64_t m_maxBalance;
    /// In thousandths of a retry.
    std::atomic<std::int64_t> m_balance;
    std::atomic<Core::Clock::Monotonic::rep> m_lastRefill {0};
};

} // namespace Admission
