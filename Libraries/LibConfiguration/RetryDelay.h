#pragma once

#include <chrono>
#include <random>

namespace Configuration {

/// Waiting times between attempts: doubled each time up to a limit, each drawn at random from the
/// upper half, so that instances that failed together do not come back together.
class RetryDelay
{
public:
    RetryDelay(std::chrono::milliseconds first, std::chrono::milliseconds longest);

    /// The time to wait before the next attempt.
    std::chrono::milliseconds next(std::mt19937_64 &random);
    /// Starts over after a success.
    void reset() { m_bound = m_first; }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::chrono::milliseconds m_bound;
};

} // namespace Configuration
