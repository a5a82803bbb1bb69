#include <LibCore/Clock.h>

namespace Core {

Clock::Monotonic SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

Clock::Wall SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace Core
