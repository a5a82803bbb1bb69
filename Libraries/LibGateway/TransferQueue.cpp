#include <LibGateway/TransferQueue.h>

#include <algorithm>

namespace Gateway {

void TransferQueue::setRate(double tokensPerMillisecond, Core::Clock::Monotonic now)
{
    if (tokensPerMillisecond == m_rate)
        return;
    m_tokens = tokensLeft(now);
    m_updated = now;
    m_rate = tokensPerMillisecond;
}

void TransferQueue::add(double tokens, Core::Clock::Monotonic now)
{
    m_tokens = tokensLeft(now) + tokens;
    m_updated = now;
}

TransferQueue::Milliseconds TransferQueue::wait(Core::Clock::Monotonic now) const
{
    return m_rate > 0 ? Milliseconds(tokensLeft(now) / m_rate) : Milliseconds(0);
}

double TransferQueue::tokensLeft(Core::Clock::Monotonic now) const
{
    if (m_updated == Core::Clock::Monotonic::min())
        return 0;
    return std::max(0.0, m_tokens - m_rate * Milliseconds(now - m_updated).count());
}

} // namespace Gateway
