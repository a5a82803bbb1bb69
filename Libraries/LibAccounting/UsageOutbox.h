#pragma once

#include <LibAccounting/UsageRecord.h>

#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace Accounting {

/// Keeps an instance's records until the platform's log has taken them. A batch whose append got
/// no answer is sent again with the same numbers, so that it counts once. While the log is out,
/// records that were never sent are joined, group by group, which loses detail in time and no
/// amount; the memory stays bounded by the number of groups. What a crash loses is what was not
/// appended: the present interval and, during an outage, all since its start. Safe from any thread.
class UsageOutbox
{
public:
    UsageOutbox(Core::InstanceId instance, std::uint64_t incarnation);

    /// Adds records of one closed interval.
    void add(std::vector<UsageRecord> records);

    /// The bytes to append now: the batch that is still unanswered, or all that waits. Nothing
    /// when there is nothing to append. With `isLast` the batch says that no other follows.
    std::optional<std::string> nextBatch(bool isLast = false);
    /// The log has taken the batch that nextBatch() gave.
    void noteAppended();

    /// Records not yet known to be in the log.
    std::size_t pending() const;

private:
    const Core::InstanceId m_instance;
    const std::uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastSequence = 0;
    std::vector<UsageRecord> m_unsent;
    std::optional<std::string> m_unacknowledged;
    std::size_t m_unacknowledgedRecords = 0;
};

/// Joins two records of one group and one configuration into one from the earlier start.
UsageRecord merged(const UsageRecord &first, const UsageRecord &second);

} // namespace Accounting
