#include <LibGateway/OrderLease.h>

#include <algorithm>

namespace Gateway {

namespace {

// Time for an order that was sent just before the lease expired to arrive.
constexpr std::chrono::milliseconds HandoverMargin {500};

} // namespace

OrderLease::OrderLease(Core::InstanceId self)
    : m_self(std::move(self))
{ }

void OrderLease::noteRecord(LogPosition position, const Core::InstanceId &holder,
                            Core::Clock::Monotonic now)
{
    if (m_lastSeen != Core::Clock::Monotonic::min() && position <= m_lastPosition)
        return;
    m_lastPosition = position;
    m_lastHolder = holder;
    m_lastSeen = now;
    if (holder != m_self)
        m_ownPosition.reset();
}

bool OrderLease::mayTake(Core::Clock::Monotonic now, std::chrono::milliseconds minHandoverGap) const
{
    const auto handoverTime = Duration + minHandoverGap + HandoverMargin;
    // While the own lease is valid, no other instance can have taken one that was lost.
    if (m_eraSeen && now - *m_eraSeen < handoverTime && !token(now, std::chrono::milliseconds(0)))
        return false;
    if (m_lastSeen == Core::Clock::Monotonic::min() || m_lastHolder == m_self)
        return true;
    return now - m_lastSeen >= handoverTime;
}

void OrderLease::noteTaken(LogPosition position, Core::Clock::Monotonic requestTime)
{
    noteRecord(position, m_self, requestTime);
    if (m_lastHolder != m_self)
        return;
    m_ownPosition = position;
    m_ownExpiry = requestTime + Duration;
}

std::optional<std::uint64_t> OrderLease::token(Core::Clock::Monotonic now,
                                               std::chrono::milliseconds margin) const
{
    if (!m_ownPosition || now + margin >= m_ownExpiry)
        return std::nullopt;
    return tokenOf(*m_ownPosition);
}

std::uint64_t OrderLease::tokenOf(LogPosition position)
{
    // Fencing tokens start at 1, since some upstreams treat 0 as no token.
    return position.number() + 1;
}

} // namespace Gateway
