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
        const auto existing = std::find_if(m_unsent.begin(), m_unsent.end(), [&](const auto &it) {
            return it.group == record.group && it.generation == record.generation;
        });
        if (existing == m_unsent.end())
            m_unsent.push_back(std::move(record));
        else
            *existing = merged(*existing, record);
    }
}

std::optional<std::string> UsageOutbox::nextBatch(bool isLast)
{
    std::scoped_lock lock(m_mutex);
    if (m_unacknowledged)
        return m_unacknowledged;
    if (m_unsent.empty() && !isLast)
        return std::nullopt;
    for (auto &record : m_unsent)
        record.sequence = ++m_lastSequence;
    m_unacknowledgedRecords = m_unsent.size();
    UsageBatch batch {m_instance, m_incarnation, isLast, std::move(m_unsent)};
    m_unsent.clear();
    m_unacknowledged = encode(batch);
    return m_unacknowledged;
}

void UsageOutbox::noteAppended()
{
    std::scoped_lock lock(m_mutex);
    m_unacknowledged.reset();
    m_unacknowledgedRecords = 0;
}

std::size_t UsageOutbox::pending() const
{
    std::scoped_lock lock(m_mutex);
    return m_unsent.size() + m_unacknowledgedRecords;
}

UsageRecord merged(const UsageRecord &first, const UsageRecord &second)
{
    UsageRecord sum = first;
    sum.start = std::min(first.start, second.start);
    sum.length += second.length;
    sum.capacity += second.capacity;
    for (const auto &use : second.uses) {
        const auto existing = std::find_if(sum.uses.begin(), sum.uses.end(),
                                           [&](const auto &it) { return it.team == use.team; });
        if (existing == sum.uses.end()) {
            sum.uses.push_back(use);
            continue;
        }
        existing->slots += use.slots;
        existing->tokens += use.tokens;
    }
    return sum;
}

} // namespace Accounting
