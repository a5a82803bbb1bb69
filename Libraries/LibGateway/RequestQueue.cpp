#include <LibGateway/RequestQueue.h>
#include <LibGateway/RequestWait.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;
using Capacity::WaitingRoom;

RequestQueue::RequestQueue(const Core::Clock &clock, const ConfigurationState &configuration)
    : m_clock(clock)
    , m_configuration(configuration)
{ }

void RequestQueue::noteCapacity()
{
    if (m_waits.empty())
        return;
    m_room.noteCapacity();
    look();
}

void RequestQueue::wakeAll()
{
    for (const auto &[number, wait] : m_waits)
        wait->wake();
}

void RequestQueue::look()
{
    const auto now = m_clock.now();
    if (m_configuration.current() != m_knownConfiguration) {
        m_knownConfiguration = m_configuration.current();
        wakeAll();
    }
    for (const auto number : m_room.takeLeaving(now))
        if (const auto found = m_waits.find(number); found != m_waits.end())
            found->second->wake(RequestWait::Call::Leave);
    while (const auto number = m_room.takeNext(now)) {
        const auto found = m_waits.find(*number);
        if (found != m_waits.end())
            found->second->wake(RequestWait::Call::Plan);
        else
            m_room.leave(*number);
    }
    startTimer();
}

void RequestQueue::startTimer()
{
    const auto next = m_room.nextLook();
    if (!m_timer || !next)
        return;
    // Also finds a changed configuration, while the only request of each lane is being planned.
    const auto wait = std::clamp<std::chrono::nanoseconds>(
        std::max(*next, m_clock.now()) - m_clock.now(), 0ns, WaitingRoom::LookInterval);
    m_timer->expires_after(wait);
    m_timer->async_wait([queue = weak_from_this()](const auto &ec) {
        if (const auto self = queue.lock(); self && !ec)
            self->look();
    });
}

void RequestQueue::remove(WaitingRoom::Number number)
{
    m_room.leave(number);
    m_waits.erase(number);
    if (m_waits.empty())
        m_timer.reset();
    else
        startTimer();
}

} // namespace Gateway
