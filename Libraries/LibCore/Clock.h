#pragma once

#include <chrono>

namespace Core {

/// Source of time, passed in so that tests can drive it by hand.
class Clock
{
public:
    using Monotonic = std::chrono::steady_clock::time_point;
    using Wall = std::chrono::system_clock::time_point;

    virtual ~Clock() = default;
    /// Time that never goes back. Deadlines, leases and timeouts are measured with it.
    virtual Monotonic now() const = 0;
    /// Calendar time, which may jump. Only issue times and records carry it.
    virtual Wall wallNow() const = 0;
};

/// The machine's own clocks.
class SystemClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
};

/// The machine's clocks, where the monotonic one also counts the time of a suspension. Ages of
/// knowledge and leases need it: a process that was frozen must not take old knowledge for new.
class SuspensionAwareClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
};

} // namespace Core
