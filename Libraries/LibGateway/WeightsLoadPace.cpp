#include <LibGateway/WeightsLoadPace.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

using namespace std::chrono_literals;

namespace {

// Below the minimum, a rollout would take too long. More than half of the engines loading would
// leave too few to serve requests.
constexpr double MinShare = 0.08;
constexpr double MaxShare = 0.5;
// Runs that have to finish first make single loads longer, so only much longer ones count as slow.
constexpr double SlowFactor = 2.0;
constexpr double FastFactor = 1.3;
constexpr double Decrease = 0.8;
constexpr double AverageGain = 0.25;
// Loads that ran at the same time are slow together and count once.
constexpr auto DecreaseInterval = 600ms;
constexpr auto DefaultStuckTime = 1'000ms;
constexpr int StuckFactor = 3;

} // namespace

std::size_t WeightsLoadPace::limit(std::size_t engines) const
{
    const auto share = std::lround(m_share * static_cast<double>(engines));
    return static_cast<std::size_t>(std::max(1L, share));
}

std::size_t WeightsLoadPace::limit(std::size_t engines,
                                   std::vector<std::chrono::milliseconds> timesLeft) const
{
    const auto learned = limit(engines);
    if (!m_average)
        return learned;
    std::sort(timesLeft.begin(), timesLeft.end());
    std::size_t needed = 0;
    for (std::size_t n = 1; n <= timesLeft.size(); ++n) {
        // The last load has to start when one load's time is left.
        const auto startTime = timesLeft[n - 1] - *m_average;
        const double concurrent = static_cast<double>(n) * (*m_average / startTime);
        const bool isLate = startTime <= 0ms || concurrent > static_cast<double>(n);
        needed = std::max(needed, isLate ? n : static_cast<std::size_t>(std::ceil(concurrent)));
    }
    const auto most = std::lround(MaxShare * static_cast<double>(engines));
    return std::max(learned, std::min(needed, static_cast<std::size_t>(most)));
}

void WeightsLoadPace::noteLoad(std::chrono::milliseconds duration, std::size_t engines,
                               Core::Clock::Monotonic now)
{
    const std::chrono::duration<double, std::milli> sample = duration;
    m_average = m_average.value_or(sample) + AverageGain * (sample - m_average.value_or(sample));
    m_fastest = std::min(m_fastest.value_or(duration), duration);
    if (duration > SlowFactor * *m_fastest) {
        if (m_lastDecrease != Core::Clock::Monotonic::min()
            && now - m_lastDecrease < DecreaseInterval)
            return;
        m_lastDecrease = now;
        m_share = std::max(MinShare, m_share * Decrease);
        return;
    }
    // One more engine after as many fast loads as run at the same time.
    if (duration <= FastFactor * *m_fastest)
        m_share =
            std::min(MaxShare, m_share
                                   + 1.0 / static_cast<double>(limit(engines))
                                         / static_cast<double>(std::max<std::size_t>(engines, 1)));
}

std::chrono::milliseconds WeightsLoadPace::stuckAfter() const
{
    return m_fastest ? std::max<std::chrono::milliseconds>(StuckFactor * *m_fastest, 300ms)
                     : DefaultStuckTime;
}

} // namespace Gateway
