#pragma once

#include <chrono>
#include <random>

namespace Configuration {

/// Exponential back-off with jitter. The delay doubles up to a limit, and each delay is chosen at
/// random from the upper half of its range, so that instances that failed together do not retry
/// together.
class RetryDelay
{
public:
    RetryDelay(std::chrono::milliseconds first, std::chrono::milliseconds longest);

    /// Returns the time to wait before the next attempt.
    std::chrono::milliseconds next(std::mt19937_64 &random);
    /// Resets the delay after a success.
    void reset() { m_bound = m_first; }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::chrono::milliseconds m_bound;
};

} // namespace Configuration
