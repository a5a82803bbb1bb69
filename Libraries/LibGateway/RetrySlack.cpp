#include <LibGateway/FleetMembers.h>
#include <LibGateway/RetrySlack.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr double ReducedPart = 1.0 / 3;

} // namespace

bool RetrySlack::isLapsed(Time last, std::chrono::seconds window, Core::Clock::Monotonic now)
{
    return !last || now - *last > FleetMembers::MemberTimeout - window;
}

void RetrySlack::noteAnnounced(Core::Clock::Monotonic writtenAfter, std::chrono::seconds window,
                               Core::Clock::Monotonic now)
{
    if (isLapsed(m_announced, window, now))
        m_standsSince = now;
    m_announced = std::max(writtenAfter, m_announced.value_or(writtenAfter));
}

void RetrySlack::noteFirst(std::chrono::seconds window, Core::Clock::Monotonic now)
{
    m_standsSince = now - 2 * window;
}

void RetrySlack::noteJournalRead(Core::Clock::Monotonic asOf, unsigned instances,
                                 std::chrono::seconds window, Core::Clock::Monotonic now)
{
    m_journalAsOf = std::max(asOf, m_journalAsOf.value_or(asOf));
    if (now - *m_journalAsOf <= window)
        m_instances = instances;
    else
        noteInstances(instances);
}

void RetrySlack::noteInstances(unsigned instances)
{
    m_instances = std::max(m_instances, instances);
}

double RetrySlack::part(std::chrono::seconds window, Core::Clock::Monotonic now) const
{
    if (isLapsed(m_announced, window, now) || isLapsed(m_journalAsOf, window, now)
        || now - m_standsSince < window)
        return 0;
    const bool isReduced = now - *m_journalAsOf > window || now - m_standsSince < 2 * window;
    return (isReduced ? ReducedPart : 1) / std::max(1U, m_instances);
}

} // namespace Gateway
