#pragma once

#include <LibCore/Clock.h>

#include <algorithm>
#include <cstddef>

namespace Membership {

/// A token bucket of bytes: it refills at a fixed rate and holds at most one second's worth.
class ByteBudget
{
public:
    ByteBudget(std::size_t bytesPerSecond, Core::Clock::Monotonic now)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_left(m_rate)
        , m_filled(now)
    { }

    /// Returns the number of bytes that may be spent now.
    std::size_t available(Core::Clock::Monotonic now)
    {
        const std::chrono::duration<double> passed = now - m_filled;
        m_filled = now;
        m_left = std::min(m_rate, m_left + m_rate * passed.count());
        return static_cast<std::size_t>(std::max(0.0, m_left));
    }

    void spend(std::size_t bytes) { m_left -= static_cast<double>(bytes); }

private:
    double m_rate;
    double m_left;
    Core::Clock::Monotonic m_filled;
};

} // namespace Membership
