#include <LibGateway/AnsweredParts.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxParts = 20'000;

} // namespace

void AnsweredParts::note(std::uint64_t part, Core::Clock::Monotonic time)
{
    const auto it = m_parts.find(part);
    if (it != m_parts.end()) {
        it->second->time = std::max(it->second->time, time);
        m_order.splice(m_order.end(), m_order, it->second);
        return;
    }
    m_parts.emplace(part, m_order.insert(m_order.end(), {part, time}));
    if (m_order.size() <= MaxParts)
        return;
    m_parts.erase(m_order.front().part);
    m_order.pop_front();
}

std::optional<Core::Clock::Monotonic> AnsweredParts::lastAnswer(std::uint64_t part) const
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end())
        return std::nullopt;
    return it->second->time;
}

} // namespace Gateway
