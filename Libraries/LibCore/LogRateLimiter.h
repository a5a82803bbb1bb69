#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventCatalogue.h>

#include <cstdint>

namespace Core {

/// Limits the rate of log lines below warning level, so that a flood of refused requests does not
/// overload logging. Warnings and errors always pass.
class LogRateLimiter
{
public:
    /// Sustained rate in lines per second, and the burst allowed after a quiet period.
    static constexpr double LinesPerSecond = 200;
    static constexpr double Burst = 400;

    bool admit(EventLevel level, Clock::Monotonic now);
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    double m_lines = Burst;
    Clock::Monotonic m_last = Clock::Monotonic::min();
    std::uint64_t m_droppedCount = 0;
};

} // namespace Core
