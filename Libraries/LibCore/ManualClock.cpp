#include <LibCore/ManualClock.h>

namespace Core {

namespace {
// An arbitrary fixed calendar time, so that all runs use the same dates.
constexpr std::chrono::seconds WallEpoch {1'700'000'000};
} // namespace

Clock::Monotonic ManualClock::now() const
{
    return Monotonic(std::chrono::nanoseconds(m_elapsed.load(std::memory_order_relaxed)));
}

Clock::Wall ManualClock::wallNow() const
{
    const std::chrono::nanoseconds elapsed(m_elapsed.load(std::memory_order_relaxed));
    return Wall(std::chrono::duration_cast<Wall::duration>(WallEpoch + elapsed));
}

void ManualClock::advance(std::chrono::nanoseconds step)
{
    m_elapsed.fetch_add(step.count(), std::memory_order_relaxed);
}

} // namespace Core
