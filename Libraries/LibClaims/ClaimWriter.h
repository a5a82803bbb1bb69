#pragma once

#include <LibClaims/ClaimCounters.h>
#include <LibClaims/ClaimRecord.h>
#include <LibClaims/ClaimSettings.h>
#include <LibCore/Clock.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Claims {

/// One append to be sent to the log.
struct AppendBatch
{
    std::uint64_t id = 0;
    std::size_t partition = 0;
    std::string data;
};

/// Group commit: batches records into appends under a rate limit, and repeats an append until it is
/// acknowledged or its records are read back from the log. Repeating is safe because the index
/// treats copies of a record as the same record. Does no input or output. Not thread-safe.
class ClaimWriter
{
public:
    ClaimWriter(const BatchSettings &settings, std::size_t partitions, ClaimCounters &counters);

    void enqueue(std::size_t partition, ClaimRecord record, Core::Clock::Monotonic now);
    /// Removes a claim from the queue. Returns true if it was never submitted, in which case it
    /// needs no void.
    bool cancelClaim(std::size_t partition, const AttemptId &attempt);
    /// Records that a record was read back from the log and need not be appended again.
    void noteRead(std::size_t partition, RecordKind kind, const AttemptId &attempt);
    /// Returns the appends that are due. Call onResult() for each.
    std::vector<AppendBatch> poll(Core::Clock::Monotonic now);
    /// Handles the result of an append. A failed append may still have taken effect.
    void onResult(std::uint64_t batchId, bool succeeded, Core::Clock::Monotonic now);
    /// Returns when poll() is due next if no other event occurs first.
    std::optional<Core::Clock::Monotonic> nextDeadline(Core::Clock::Monotonic now) const;
    /// Returns the number of records that are not yet known to be in the log.
    std::size_t pendingCount() const;

private:
    struct Pending
    {
        ClaimRecord record;
        Core::Clock::Monotonic dueAt;
        bool submitted = false;
    };
    struct Partition
    {
        std::deque<Pending> queue;
        std::size_t inFlight = 0;
        Core::Clock::Monotonic retryAt {};
        std::chrono::milliseconds retryDelay {0};
    };
    struct InFlight
    {
        std::size_t partition = 0;
        std::vector<Pending> records;
    };

    std::optional<Core::Clock::Monotonic> dueAt(const Partition &partition) const;
    AppendBatch closeBatch(std::size_t partition);
    void refillTokens(Core::Clock::Monotonic now);

    BatchSettings m_settings;
    ClaimCounters &m_counters;
    std::vector<Partition> m_partitions;
    std::unordered_map<std::uint64_t, InFlight> m_inFlight;
    std::uint64_t m_nextBatch = 1;
    std::size_t m_firstToPoll = 0;
    double m_appendTokens = 0;
    Core::Clock::Monotonic m_refilledAt {};
};

} // namespace Claims
