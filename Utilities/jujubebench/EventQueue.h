#pragma once

#include <LibCore/ManualClock.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Bench {

/// Virtual time: runs callbacks in the order of their times, and in the order of scheduling among
/// equal times, so that a run depends on its seed alone. Moves the manual clock it was given.
class EventQueue
{
public:
    using Time = Core::Clock::Monotonic;
    using Duration = std::chrono::nanoseconds;

    /// The clock must outlive the queue and be moved by nothing else.
    explicit EventQueue(Core::ManualClock &clock);

    /// The present virtual time.
    Time now() const { return m_clock.now(); }
    /// The clock that the queue moves, for the code under test.
    const Core::Clock &clock() const { return m_clock; }
    /// Runs the callback after the delay.
    void schedule(Duration delay, std::function<void()> callback);
    /// Runs the callback at the time, or at once if that has passed.
    void scheduleAt(Time time, std::function<void()> callback);
    /// Runs everything due up to and including the time, and leaves the clock there.
    void runUntil(Time time);
    /// Runs until nothing is scheduled.
    void runAll();

private:
    struct Event
    {
        Time time;
        std::uint64_t sequence = 0;
        std::function<void()> callback;
    };
    struct Later
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.time != right.time ? left.time > right.time
                                           : left.sequence > right.sequence;
        }
    };
    /// Runs the earliest event.
    void runNext();

    Core::ManualClock &m_clock;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

} // namespace Bench
