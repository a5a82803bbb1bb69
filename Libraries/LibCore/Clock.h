#pragma once

#include <chrono>

namespace Core {

/// Source of time, injected so that tests can control it.
class Clock
{
public:
    using Monotonic = std::chrono::steady_clock::time_point;
    using Wall = std::chrono::system_clock::time_point;

    virtual ~Clock() = default;
    /// Returns monotonic time, which is used for deadlines, leases and timeouts.
    virtual Monotonic now() const = 0;
    /// Returns calendar time, which may jump. Used only for issue times and records.
    virtual Wall wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
};

/// The clocks of the operating system, with a monotonic clock that includes time in suspension. The
/// ages of leases and received state need it: a resumed process must not treat old state as fresh.
class SuspensionAwareClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
};

} // namespace Core
