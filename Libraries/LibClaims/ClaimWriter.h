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

/// One append that is to be made.
struct AppendBatch
{
    std::uint64_t id = 0;
    std::size_t partition = 0;
    std::string data;
};

/// Group commit: gathers records into few appends within a rate, and repeats an append until its
/// answer came or its records were read back. Repeating is safe because the index takes copies of
/// an attempt for one. Does no input or output. Not safe from several threads.
class ClaimWriter
{
public:
    ClaimWriter(const BatchSettings &settings, std::size_t partitions, ClaimCounters &counters);

    void enqueue(std::size_t partition, ClaimRecord record, Core::Clock::Monotonic now);
    /// Takes back a claim. True when it has never left this process, so that it needs no void.
    bool cancelClaim(std::size_t partition, const AttemptId &attempt);
    /// Notes that a record was read back from the log and need not be appended again.
    void noteRead(std::size_t partition, RecordKind kind, const AttemptId &attempt);
    /// The appends that are due. Each must be answered by onResult().
    std::vector<AppendBatch> poll(Core::Clock::Monotonic now);
    /// An append succeeded, or no answer came and it may have taken effect.
    void onResult(std::uint64_t batchId, bool succeeded, Core::Clock::Monotonic now);
    /// When poll() has something to do next, if nothing else happens.
    std::optional<Core::Clock::Monotonic> nextDeadline(Core::Clock::Monotonic now) const;
    /// Records not yet known to be in the log.
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
