#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimWriter.h>

#include <algorithm>

namespace Claims {

ClaimWriter::ClaimWriter(const BatchSettings &settings, std::size_t partitions,
                         ClaimCounters &counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_partitions(partitions)
    , m_appendTokens(settings.appendBurst)
{ }

void ClaimWriter::enqueue(std::size_t partition, ClaimRecord record, Core::Clock::Monotonic now)
{
    const bool isDeferrable = record.kind == RecordKind::Finished;
    const auto dueAt = now + (isDeferrable ? m_settings.maxFinishedAge : m_settings.maxAge);
    m_partitions[partition].queue.push_back({std::move(record), dueAt, false});
}

bool ClaimWriter::cancelClaim(std::size_t partition, const AttemptId &attempt)
{
    const auto isClaim = [&](const Pending &it) {
        return it.record.kind == RecordKind::Claim && it.record.attempt == attempt;
    };
    auto &queue = m_partitions[partition].queue;
    const auto it = std::find_if(queue.begin(), queue.end(), isClaim);
    if (it == queue.end()) {
        for (auto &[id, batch] : m_inFlight)
            std::erase_if(batch.records, isClaim);
        return false;
    }
    const bool neverSubmitted = !it->submitted;
    queue.erase(it);
    return neverSubmitted;
}

void ClaimWriter::noteRead(std::size_t partition, RecordKind kind, const AttemptId &attempt)
{
    const auto isSame = [&](const Pending &it) {
        return it.record.kind == kind && it.record.attempt == attempt;
    };
    auto &it = m_partitions[partition];
    // Only the acknowledgement was lost. The log accepts appends, so the retry delay is reset.
    if (std::erase_if(it.queue, isSame) > 0) {
        it.retryDelay = std::chrono::milliseconds(0);
        it.retryAt = {};
    }
    for (auto &[id, batch] : m_inFlight) {
        if (batch.partition == partition)
            std::erase_if(batch.records, isSame);
    }
}

std::vector<AppendBatch> ClaimWriter::poll(Core::Clock::Monotonic now)
{
    refillTokens(now);
    std::vector<AppendBatch> batches;
    // Continues after the last partition served, so that a low rate serves all partitions in turn.
    for (std::size_t n = 0; n < m_partitions.size() && m_appendTokens >= 1; ++n) {
        const auto partition = (m_firstToPoll + n) % m_partitions.size();
        const auto due = dueAt(m_partitions[partition]);
        if (!due || *due > now)
            continue;
        batches.push_back(closeBatch(partition));
        m_appendTokens -= 1;
        if (m_appendTokens < 1)
            m_firstToPoll = (partition + 1) % m_partitions.size();
    }
    return batches;
}

void ClaimWriter::onResult(std::uint64_t batchId, bool succeeded, Core::Clock::Monotonic now)
{
    auto node = m_inFlight.extract(batchId);
    if (node.empty())
        return;
    auto &batch = node.mapped();
    auto &partition = m_partitions[batch.partition];
    --partition.inFlight;
    if (succeeded) {
        partition.retryDelay = std::chrono::milliseconds(0);
        partition.retryAt = now;
        return;
    }
    ++m_counters.failedAppends;
    partition.retryDelay =
        std::clamp(partition.retryDelay * 2, m_settings.minRetryDelay, m_settings.maxRetryDelay);
    partition.retryAt = now + partition.retryDelay;
    partition.queue.insert(partition.queue.begin(), std::make_move_iterator(batch.records.begin()),
                           std::make_move_iterator(batch.records.end()));
}

std::optional<Core::Clock::Monotonic> ClaimWriter::nextDeadline(Core::Clock::Monotonic now) const
{
    std::optional<Core::Clock::Monotonic> earliest;
    for (const auto &it : m_partitions) {
        const auto due = dueAt(it);
        if (due && (!earliest || *due < *earliest))
            earliest = due;
    }
    if (!earliest || m_appendTokens >= 1)
        return earliest;
    const std::chrono::duration<double> wait((1 - m_appendTokens) / m_settings.appendsPerSecond);
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return std::max(*earliest, std::max(now, m_refilledAt + rounded));
}

std::size_t ClaimWriter::pendingCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_partitions)
        n += it.queue.size();
    for (const auto &[id, batch] : m_inFlight)
        n += batch.records.size();
    return n;
}

std::optional<Core::Clock::Monotonic> ClaimWriter::dueAt(const Partition &partition) const
{
    if (partition.queue.empty() || partition.inFlight >= m_settings.maxInFlight)
        return std::nullopt;
    if (partition.queue.size() >= m_settings.maxRecords)
        return partition.retryAt;
    const auto isEarlier = [](const Pending &left, const Pending &right) {
        return left.dueAt < right.dueAt;
    };
    const auto due = std::ranges::min_element(partition.queue, isEarlier)->dueAt;
    return std::max(due, partition.retryAt);
}

AppendBatch ClaimWriter::closeBatch(std::size_t partition)
{
    auto &queue = m_partitions[partition].queue;
    const auto count = std::min(queue.size(), m_settings.maxRecords);
    InFlight batch {partition, {}};
    std::vector<ClaimRecord> records;
    records.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        queue.front().submitted = true;
        records.push_back(queue.front().record);
        batch.records.push_back(std::move(queue.front()));
        queue.pop_front();
    }
    ++m_partitions[partition].inFlight;
    const auto id = m_nextBatch++;
    m_inFlight.emplace(id, std::move(batch));
    auto data = encodeBatch(records);
    ++m_counters.appends;
    m_counters.appendBytes += data.size();
    m_counters.records += records.size();
    return {id, partition, std::move(data)};
}

void ClaimWriter::refillTokens(Core::Clock::Monotonic now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_appendTokens = std::min(m_settings.appendBurst,
                              m_appendTokens + elapsed.count() * m_settings.appendsPerSecond);
    m_refilledAt = now;
}

} // namespace Claims
