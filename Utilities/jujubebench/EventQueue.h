#pragma once

#include <LibCore/ManualClock.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Bench {

/// Runs callbacks in virtual time, ordered by their due time and then by the order of scheduling,
/// so that a run depends on its seed alone. Advances the manual clock passed to the constructor.
class EventQueue
{
public:
    using Time = Core::Clock::Monotonic;
    using Duration = std::chrono::nanoseconds;

    /// The clock must outlive the queue and must not be advanced by anything else.
    explicit EventQueue(Core::ManualClock &clock);

    /// Returns the current virtual time.
    Time now() const { return m_clock.now(); }
    /// Returns the clock that the queue advances, for the code under test.
    const Core::Clock &clock() const { return m_clock; }
    /// Schedules the callback to run after the delay.
    void schedule(Duration delay, std::function<void()> callback);
    /// Schedules the callback for the given time, or for the current time if that has passed.
    void scheduleAt(Time time, std::function<void()> callback);
    /// Runs every event due up to and including the given time, and leaves the clock there.
    void runUntil(Time time);
    /// Runs until no event is scheduled.
    void runAll();

private:
    struct Event
    {
        Time time;
        std::uint64_t sequence = 0;
        std::function<void()> callback;
    };
    struct RunsLater
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
    std::priority_queue<Event, std::vector<Event>, RunsLater> m_events;
};

} // namespace Bench
