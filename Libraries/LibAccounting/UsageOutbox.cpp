#include <LibAccounting/UsageOutbox.h>

#include <algorithm>

namespace Accounting {

UsageOutbox::UsageOutbox(Core::InstanceId instance, std::uint64_t incarnation)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
{ }

void UsageOutbox::add(std::vector<UsageRecord> records)
{
    std::scoped_lock lock(m_mutex);
    for (auto &record : records) {
        const auto same = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &it) {
            return it.group == record.group && it.generation == record.generation;
        });
        if (same == m_waiting.end())
            m_waiting.push_back(std::move(record));
        else
            *same = joined(*same, record);
    }
}

std::optional<std::string> UsageOutbox::nextBatch(bool isLast)
{
    std::scoped_lock lock(m_mutex);
    if (m_sent)
        return m_sent;
    if (m_waiting.empty() && !isLast)
        return std::nullopt;
    for (auto &record : m_waiting)
        record.sequence = ++m_lastSequence;
    m_sentRecords = m_waiting.size();
    UsageBatch batch {m_instance, m_incarnation, isLast, std::move(m_waiting)};
    m_waiting.clear();
    m_sent = encode(batch);
    return m_sent;
}

void UsageOutbox::noteAppended()
{
    std::scoped_lock lock(m_mutex);
    m_sent.reset();
    m_sentRecords = 0;
}

std::size_t UsageOutbox::pending() const
{
    std::scoped_lock lock(m_mutex);
    return m_waiting.size() + m_sentRecords;
}

UsageRecord joined(const UsageRecord &first, const UsageRecord &second)
{
    UsageRecord sum = first;
    sum.start = std::min(first.start, second.start);
    sum.length += second.length;
    sum.capacity += second.capacity;
    for (const auto &use : second.uses) {
        const auto same = std::find_if(sum.uses.begin(), sum.uses.end(),
                                       [&](const auto &it) { return it.team == use.team; });
        if (same == sum.uses.end()) {
            sum.uses.push_back(use);
            continue;
        }
        same->slots += use.slots;
        same->tokens += use.tokens;
    }
    return sum;
}

} // namespace Accounting
