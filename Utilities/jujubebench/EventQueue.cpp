#include "EventQueue.h"

#include <algorithm>
#include <utility>

namespace Bench {

EventQueue::EventQueue(Core::ManualClock &clock)
    : m_clock(clock)
{ }

void EventQueue::schedule(Duration delay, std::function<void()> callback)
{
    scheduleAt(now() + delay, std::move(callback));
}

void EventQueue::scheduleAt(Time time, std::function<void()> callback)
{
    m_events.push({std::max(time, now()), m_sequence++, std::move(callback)});
}

void EventQueue::runUntil(Time time)
{
    while (!m_events.empty() && m_events.top().time <= time)
        runNext();
    if (time > now())
        m_clock.advance(time - now());
}

void EventQueue::runAll()
{
    while (!m_events.empty())
        runNext();
}

void EventQueue::runNext()
{
    const Event event = m_events.top();
    m_events.pop();
    m_clock.advance(event.time - now());
    event.callback();
}

} // namespace Bench
