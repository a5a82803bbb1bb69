#include <LibCore/LogRateLimiter.h>

#include <algorithm>
#include <utility>

namespace Core {

bool LogRateLimiter::admit(EventLevel level, Clock::Monotonic now)
{
    if (level == EventLevel::Warning || level == EventLevel::Error)
        return true;
    if (m_last != Clock::Monotonic::min()) {
        const std::chrono::duration<double> passed = now - m_last;
        m_lines = std::min(Burst, m_lines + passed.count() * LinesPerSecond);
    }
    m_last = now;
    if (m_lines < 1) {
        ++m_droppedCount;
        return false;
    }
    --m_lines;
    return true;
}

std::uint64_t LogRateLimiter::takeDroppedCount()
{
    return std::exchange(m_droppedCount, 0);
}

} // namespace Core
