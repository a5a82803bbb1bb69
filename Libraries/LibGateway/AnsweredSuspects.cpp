#include <LibGateway/AnsweredSuspects.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxSuspects = 20'000;
// A suspect of few answers is taken for a rare one.
constexpr double RareAnswers = 20;

} // namespace

void AnsweredSuspects::note(std::uint64_t suspect, Core::Clock::Monotonic time)
{
    const auto it = m_suspects.find(suspect);
    if (it != m_suspects.end()) {
        it->second->time = std::max(it->second->time, time);
        m_order.splice(m_order.end(), m_order, it->second);
        return;
    }
    m_suspects.emplace(suspect, m_order.insert(m_order.end(), {suspect, time}));
    if (m_order.size() <= MaxSuspects)
        return;
    m_suspects.erase(m_order.front().suspect);
    m_order.pop_front();
}

void AnsweredSuspects::noteOwn(std::span<const std::uint64_t> suspects, Core::Clock::Monotonic time)
{
    for (const auto suspect : suspects) {
        note(suspect, time);
        auto &entry = *m_suspects.at(suspect);
        if (!entry.count)
            entry.before = m_ownAnswers;
        ++entry.count;
    }
    ++m_ownAnswers;
}

double AnsweredSuspects::share(std::uint64_t suspect) const
{
    const auto it = m_suspects.find(suspect);
    if (it == m_suspects.end() || !it->second->count)
        return 0;
    const auto &entry = *it->second;
    const auto answers = static_cast<double>(m_ownAnswers - entry.before);
    return std::min(1.0, (entry.count - 1) / (answers + RareAnswers));
}

std::optional<Core::Clock::Monotonic> AnsweredSuspects::lastAnswer(std::uint64_t suspect) const
{
    const auto it = m_suspects.find(suspect);
    if (it == m_suspects.end())
        return std::nullopt;
    return it->second->time;
}

} // namespace Gateway
