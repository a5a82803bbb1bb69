#include <LibPlacement/Placement.h>

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// Weight of a new sample in a moving average.
constexpr float SampleWeight = 0.05F;
/// Without new samples, the distance of the slowness from 1 halves in this time.
constexpr Seconds SlownessHalfLife {5.0};
constexpr float MaxSlowness = 20;
/// A wait for the first token up to this time is not considered a stall.
constexpr Seconds StallGrace {1.0};

void updateAverage(std::atomic<float> &value, float sample)
{
    const auto previous = value.load(std::memory_order_relaxed);
    value.store(previous + (sample - previous) * SampleWeight, std::memory_order_relaxed);
}

void decrement(std::atomic<std::uint32_t> &value)
{
    auto previous = value.load(std::memory_order_relaxed);
    while (previous != 0
           && !value.compare_exchange_weak(previous, previous - 1, std::memory_order_relaxed)) { }
}

} // namespace

double Placement::slowness(const UpstreamState &state, IndexTime now)
{
    const IndexTime at(state.slownessAt.load(std::memory_order_relaxed));
    const Seconds age = now - std::min(at, now);
    const double factor = state.slowness.load(std::memory_order_relaxed);
    return 1 + (factor - 1) * std::exp2(-(age / SlownessHalfLife));
}

Seconds Placement::stall(const UpstreamState &state, IndexTime now)
{
    if (state.waiting.load(std::memory_order_relaxed) == 0)
        return Seconds(0);
    const IndexTime at(state.progressAt.load(std::memory_order_relaxed));
    const Seconds age = now - std::min(at, now);
    return std::max(Seconds(0), age - StallGrace);
}

void Placement::noteSent(Decision &decision, const PromptBlocks &blocks)
{
    decision.sentAt = m_clock.now();
    if (!m_upstreams.isCurrent(decision.slot, decision.epoch))
        return;
    const auto time = now();
    auto &state = m_upstreams.state(decision.slot);
    const auto uncachedTokens = blocks.promptTokens() - decision.expectedCachedTokens;
    state.sends.add(time, uncachedTokens);
    if (state.waiting.fetch_add(1, std::memory_order_relaxed) == 0)
        state.progressAt.store(time.count(), std::memory_order_relaxed);
    for (const auto hash : blocks.hashes())
        m_prefixIndex.recordUse(hash, decision.slot, decision.epoch, time);
}

void Placement::noteFirstToken(const Decision &decision, const PromptBlocks &blocks,
                               std::optional<std::uint64_t> cachedTokens)
{
    if (!m_upstreams.isCurrent(decision.slot, decision.epoch))
        return;
    const auto time = now();
    auto &state = m_upstreams.state(decision.slot);
    decrement(state.waiting);
    state.progressAt.store(time.count(), std::memory_order_relaxed);
    updateSlowness(decision, state, time);
    if (cachedTokens)
        noteCachedTokens(decision, blocks, *cachedTokens);
    // After the prefill, all blocks of the prompt are in the cache of the upstream.
    for (const auto hash : blocks.hashes())
        m_prefixIndex.recordHolder(hash, decision.slot, decision.epoch, time);
}

void Placement::noteCachedTokens(const Decision &decision, const PromptBlocks &blocks,
                                 std::uint64_t cachedTokens)
{
    if (!m_upstreams.isCurrent(decision.slot, decision.epoch))
        return;
    const auto uncachedTokens =
        blocks.promptTokens() - std::min(blocks.promptTokens(), cachedTokens);
    const auto &state = m_upstreams.state(decision.slot);
    updateAverage(m_prefillPerRequest,
                  static_cast<float>(uncachedTokens) / state.prefillTokensPerSecond);
}

void Placement::noteAnswer(const Decision &decision)
{
    const Seconds elapsed = m_clock.now() - decision.sentAt;
    updateAverage(m_secondsPerRequest, static_cast<float>(elapsed.count()));
}

void Placement::noteFailed(const Decision &decision)
{
    if (m_upstreams.isCurrent(decision.slot, decision.epoch))
        decrement(m_upstreams.state(decision.slot).waiting);
}

void Placement::noteLoadReport(UpstreamSlot slot, const LoadReport &report)
{
    if (!m_upstreams.noteIncarnation(slot, report.incarnation))
        return;
    auto &state = m_upstreams.state(slot);
    const auto sinceStart = std::max(report.measuredAt, m_start) - m_start;
    const auto at =
        std::chrono::duration_cast<IndexTime>(sinceStart + std::chrono::milliseconds(1));
    if (at.count() < state.reportedAt.load(std::memory_order_relaxed))
        return;
    state.running.store(report.running, std::memory_order_relaxed);
    state.queued.store(report.queued, std::memory_order_relaxed);
    state.pendingPrefillTokens.store(report.pendingPrefillTokens, std::memory_order_relaxed);
    state.reportedAt.store(at.count(), std::memory_order_relaxed);
}

void Placement::noteCacheEvent(UpstreamSlot slot, std::uint64_t incarnation, BlockHash block,
                               bool isStored, std::chrono::milliseconds age)
{
    if (!m_settings.usesCacheEvents)
        return;
    // The epoch is read first, so that the entry is invalid if a new incarnation starts meanwhile.
    const auto epoch = m_upstreams.state(slot).epoch.load(std::memory_order_acquire);
    if (!m_upstreams.noteIncarnation(slot, incarnation) || !m_upstreams.isCurrent(slot, epoch))
        return;
    const auto time = now();
    const auto lag = std::chrono::duration_cast<IndexTime>(std::max(age, age.zero()));
    const auto at = time - std::min(time, lag);
    if (isStored)
        m_prefixIndex.recordHolder(block, slot, epoch, at);
    else
        m_prefixIndex.removeHolder(block, slot, at);
}

std::vector<FrequentPrefix>
Placement::exportFrequentPrefixes(std::size_t limit, std::chrono::milliseconds within) const
{
    const auto time = now();
    std::vector<PrefixCacheEntry> frequent;
    const auto isRecent = [&](IndexTime use) { return time - std::min(time, use) <= within; };
    m_prefixIndex.forEach([&](const PrefixCacheEntry &entry) {
        if (isRecent(entry.usedAt))
            frequent.push_back(entry);
    });
    const auto count = std::min(limit, frequent.size());
    std::partial_sort(frequent.begin(), frequent.begin() + static_cast<std::ptrdiff_t>(count),
                      frequent.end(),
                      [time](const PrefixCacheEntry &left, const PrefixCacheEntry &right) {
                          const auto first = left.rate(time);
                          const auto second = right.rate(time);
                          return first != second ? first > second : left.block < right.block;
                      });
    frequent.resize(count);

    std::vector<FrequentPrefix> exported;
    exported.reserve(count);
    for (const auto &entry : frequent) {
        FrequentPrefix out {entry.block, entry.decayedRequestsNow(time), {}};
        for (const auto &holder : entry.holders) {
            if (!m_upstreams.isCurrent(holder.slot, holder.epoch) || !isRecent(holder.lastUse))
                continue;
            const auto age = time - std::min(time, holder.lastUse);
            out.holders.push_back(
                {m_upstreams.id(holder.slot), m_upstreams.state(holder.slot).incarnation, age});
        }
        exported.push_back(std::move(out));
    }
    return exported;
}

void Placement::importFrequentPrefixes(std::span<const FrequentPrefix> entries)
{
    const auto time = now();
    for (const auto &entry : entries) {
        m_prefixIndex.importRequests(entry.block, entry.decayedRequests, time);
        for (const auto &holder : entry.holders) {
            const auto slot = m_upstreams.find(holder.upstream);
            if (!slot)
                continue;
            const auto &state = m_upstreams.state(*slot);
            const auto epoch = state.epoch.load(std::memory_order_acquire);
            if (state.incarnation != holder.incarnation || !m_upstreams.isCurrent(*slot, epoch))
                continue;
            const auto age = std::chrono::duration_cast<IndexTime>(holder.age);
            // At least 1, because zero means never.
            const auto lastUse = time - std::min(time - IndexTime(1), age);
            m_prefixIndex.recordHolder(entry.block, *slot, epoch, lastUse);
        }
    }
}

void Placement::updateSlowness(const Decision &decision, UpstreamState &state, IndexTime now)
{
    // Estimates below this are mostly noise.
    constexpr Seconds MinExpected {0.1};
    constexpr double SlownessSampleWeight = 0.3;
    // Lateness up to this multiple of the average is considered noise.
    constexpr double Tolerance = 1.3;
    const Seconds elapsed = m_clock.now() - decision.sentAt;
    const auto expected = std::max(MinExpected, decision.terms.queueWait + decision.terms.prefill);
    const auto lateness =
        std::clamp(elapsed / expected, 1.0 / MaxSlowness, static_cast<double>(MaxSlowness));
    updateAverage(m_averageLateness, static_cast<float>(lateness));
    // An upstream is slow only if it is late compared to the others. If all of them are late, the
    // cause is load.
    const double typical = std::max(1.0F, m_averageLateness.load(std::memory_order_relaxed));
    const auto sample = std::max(1.0, lateness / (typical * Tolerance));
    const auto previous = slowness(state, now);
    state.slowness.store(static_cast<float>(previous + (sample - previous) * SlownessSampleWeight),
                         std::memory_order_relaxed);
    state.slownessAt.store(now.count(), std::memory_order_relaxed);
}

} // namespace Placement
