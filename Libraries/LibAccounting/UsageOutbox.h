#pragma once

#include <LibAccounting/UsageRecord.h>

#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace Accounting {

/// Buffers an instance's usage records until the platform's log has acknowledged them. A batch
/// whose append was not acknowledged is sent again with the same sequence numbers, so that it is
/// counted once. While the log is unavailable, unsent records of the same group and configuration
/// are merged: this loses time resolution but no usage, and bounds the memory by the number of
/// groups. A crash loses the records that were not appended: the current interval and, during an
/// outage, everything since its start. Thread-safe.
class UsageOutbox
{
public:
    UsageOutbox(Core::InstanceId instance, std::uint64_t incarnation);

    /// Adds the records of one closed interval.
    void add(std::vector<UsageRecord> records);

    /// Returns the encoded batch to append next: the unacknowledged batch if there is one,
    /// otherwise a new batch of all unsent records. Returns nullopt if there is nothing to append.
    /// With `isLast` the new batch is marked as the final batch of this incarnation, even if it has
    /// no records.
    std::optional<std::string> nextBatch(bool isLast = false);
    /// Records that the log has acknowledged the batch that nextBatch() returned.
    void noteAppended();

    /// Returns the number of records that are not yet acknowledged by the log.
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

/// Merges two records of the same group and configuration into one that starts at the earlier
/// start.
UsageRecord merged(const UsageRecord &first, const UsageRecord &second);

} // namespace Accounting
