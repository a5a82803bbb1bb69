#include <LibGateway/AnsweredParts.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxParts = 20'000;
// A part of few answers is taken for a rare one.
constexpr double RareAnswers = 20;

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

void AnsweredParts::noteOwn(std::span<const std::uint64_t> parts, Core::Clock::Monotonic time)
{
    for (const auto part : parts) {
        note(part, time);
        auto &entry = *m_parts.at(part);
        if (!entry.count)
            entry.before = m_ownAnswers;
        ++entry.count;
    }
    ++m_ownAnswers;
}

double AnsweredParts::share(std::uint64_t part) const
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end() || !it->second->count)
        return 0;
    const auto &entry = *it->second;
    const auto answers = static_cast<double>(m_ownAnswers - entry.before);
    return std::min(1.0, (entry.count - 1) / (answers + RareAnswers));
}

std::optional<Core::Clock::Monotonic> AnsweredParts::lastAnswer(std::uint64_t part) const
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end())
        return std::nullopt;
    return it->second->time;
}

} // namespace Gateway
