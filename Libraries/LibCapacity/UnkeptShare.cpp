#include <LibCapacity/UnkeptShare.h>

#include <algorithm>

namespace Capacity {

namespace {

// The keeper and all instances without an answer together exceed the limit by this share at most.
constexpr double Share = 0.5;
// Longer times, in which the keeper answered or no request came, do not count.
constexpr std::chrono::duration<double> MaxTime {0.1};

} // namespace

bool UnkeptShare::allows(double limit, unsigned instances, double sample, Monotonic now)
{
    std::chrono::duration<double> time = now - m_last.value_or(now);
    time = std::min(time, MaxTime);
    m_last = now;
    return sample < Share * limit / std::max(1U, instances) * time.count();
}

} // namespace Capacity
