#include <LibCore/Clock.h>

#include <time.h>

namespace Core {

Clock::Monotonic SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

Clock::Wall SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

Clock::Monotonic SuspensionAwareClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Monotonic(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Clock::Wall SuspensionAwareClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace Core
