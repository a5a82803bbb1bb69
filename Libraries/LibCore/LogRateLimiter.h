#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventCatalogue.h>

#include <cstdint>

namespace Core {

/// Bounds the lines a second below warning, so that a flood of refusals does not become a flood of
/// log work. Warnings and errors always pass.
class LogRateLimiter
{
public:
    /// Lines a second that pass in the long run, and at once after a quiet time.
    static constexpr double LinesPerSecond = 200;
    static constexpr double Burst = 400;

    bool admit(EventLevel level, Clock::Monotonic now);
    /// Lines left out since the last call.
    std::uint64_t takeLeftOut();

private:
    double m_lines = Burst;
    Clock::Monotonic m_last = Clock::Monotonic::min();
    std::uint64_t m_leftOut = 0;
};

} // namespace Core
