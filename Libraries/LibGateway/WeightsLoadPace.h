#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Gateway {

/// Decides how many engines load weights at the same time.
///
/// Engines share the bandwidth of the source of the weights: beyond some number of concurrent
/// loads, each takes longer, so more engines are unavailable and none is ready sooner. The number
/// is not configured; it is learned from how long loads take. It is exceeded where the rollout
/// would otherwise not end in time: engines whose weights are too old serve no requests anyway.
class WeightsLoadPace
{
public:
    /// Returns the number of concurrent loads for a fleet of this many engines; at least 1.
    std::size_t limit(std::size_t engines) const;
    /// Returns the number of concurrent loads with which outdated engines get their weights within
    /// the given times, one of each engine, at most half of all engines.
    std::size_t limit(std::size_t engines, std::vector<std::chrono::milliseconds> timesLeft) const;
    /// Records how long a load took. Lowers the limit when loads take much longer than the fastest
    /// one, and raises it when they do not.
    void noteLoad(std::chrono::milliseconds duration, std::size_t engines,
                  Core::Clock::Monotonic now);
    /// Returns the time after which a load counts as stuck, so that another engine may start.
    std::chrono::milliseconds stuckAfter() const;

private:
    /// The limit as a share of the engines.
    double m_share = InitialShare;
    std::optional<std::chrono::milliseconds> m_fastest;
    /// The moving average of the time that a load takes.
    std::optional<std::chrono::duration<double, std::milli>> m_average;
    Core::Clock::Monotonic m_lastDecrease = Core::Clock::Monotonic::min();

    static constexpr double InitialShare = 1.0 / 6;
};

} // namespace Gateway
