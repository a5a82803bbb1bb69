#include <LibCore/Error.h>
#include <LibPlacement/UpstreamTable.h>

#include <algorithm>

namespace Placement {

namespace {

constexpr std::uint64_t TokenBits = 28;
constexpr std::uint64_t RequestBits = 12;
constexpr std::uint64_t TokenMask = (1ULL << TokenBits) - 1;
constexpr std::uint64_t RequestMask = (1ULL << RequestBits) - 1;
constexpr std::uint64_t NumberMask = (1ULL << 24) - 1;

std::uint64_t bucketNumber(std::uint64_t word)
{
    return word >> (TokenBits + RequestBits);
}

} // namespace

void RecentSends::add(IndexTime now, std::uint64_t tokens)
{
    const std::uint64_t number = (now.count() / BucketMilliseconds) & NumberMask;
    auto &bucket = m_buckets[number % BucketCount];
    tokens = std::min(tokens, TokenMask / 2);
    const auto added = (1ULL << TokenBits) + tokens;
    auto word = bucket.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do {
        const auto base = bucketNumber(word) == number ? word : number << (TokenBits + RequestBits);
        const bool isFull = ((base >> TokenBits) & RequestMask) == RequestMask
                            || (base & TokenMask) + tokens > TokenMask;
        next = isFull ? base : base + added;
    } while (!bucket.compare_exchange_weak(word, next, std::memory_order_relaxed));
}

RecentSends::Sum RecentSends::since(IndexTime time, IndexTime now) const
{
    const std::uint64_t last = now.count() / BucketMilliseconds;
    std::uint64_t first = time.count() / BucketMilliseconds;
    if (last >= BucketCount && first <= last - BucketCount)
        first = last - BucketCount + 1;
    Sum sum;
    for (auto number = first; number <= last; ++number) {
        const auto word = m_buckets[number % BucketCount].load(std::memory_order_relaxed);
        if (bucketNumber(word) != (number & NumberMask))
            continue;
        sum.tokens += word & TokenMask;
        sum.requests += static_cast<std::uint32_t>((word >> TokenBits) & RequestMask);
    }
    return sum;
}

void RecentSends::clear()
{
    for (auto &bucket : m_buckets)
        bucket.store(0, std::memory_order_relaxed);
}

UpstreamTable::UpstreamTable()
    : m_states(std::make_unique<UpstreamState[]>(MaxUpstreams))
{ }

UpstreamSlot UpstreamTable::add(const UpstreamView &view)
{
    std::scoped_lock lock(m_mutex);
    auto it = m_slots.find(view.id);
    if (it == m_slots.end()) {
        if (m_ids.size() == MaxUpstreams)
            throw Core::Error(Core::ErrorKind::Internal, "the upstream table is full");
        it = m_slots.emplace(view.id, static_cast<UpstreamSlot>(m_ids.size())).first;
        m_ids.push_back(view.id);
    }
    auto &state = m_states[it->second];
    state.weight = static_cast<float>(view.weight);
    state.prefillTokensPerSecond = static_cast<float>(view.prefillTokensPerSecond);
    state.slots = std::max<std::uint32_t>(1, view.slots);
    const auto epoch = state.epoch.load();
    const bool isRemoved = epoch == 0 || epoch % 2 == 1;
    if (view.incarnation > state.incarnation
        || (isRemoved && view.incarnation == state.incarnation)) {
        state.incarnation = view.incarnation;
        startEpoch(state);
    }
    return it->second;
}

std::optional<UpstreamSlot> UpstreamTable::find(const Core::UpstreamId &id) const
{
    std::scoped_lock lock(m_mutex);
    const auto it = m_slots.find(id);
    if (it == m_slots.end())
        return std::nullopt;
    return it->second;
}

Core::UpstreamId UpstreamTable::id(UpstreamSlot slot) const
{
    std::scoped_lock lock(m_mutex);
    return m_ids.at(slot);
}

bool UpstreamTable::noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation)
{
    auto &state = m_states[slot];
    if (state.incarnation.load(std::memory_order_acquire) == incarnation)
        return true;
    std::scoped_lock lock(m_mutex);
    if (incarnation <= state.incarnation)
        return incarnation == state.incarnation;
    state.incarnation = incarnation;
    startEpoch(state);
    return true;
}

void UpstreamTable::remove(UpstreamSlot slot)
{
    std::scoped_lock lock(m_mutex);
    auto &epoch = m_states[slot].epoch;
    epoch = epoch | 1;
}

bool UpstreamTable::isCurrent(UpstreamSlot slot, std::uint32_t epoch) const
{
    return epoch != 0 && epoch % 2 == 0
           && m_states[slot].epoch.load(std::memory_order_acquire) == epoch;
}

void UpstreamTable::startEpoch(UpstreamState &state)
{
    state.reportedAt = 0;
    state.running = 0;
    state.queued = 0;
    state.pendingPrefillTokens = 0;
    state.sends.clear();
    state.slowness = 1;
    state.waiting = 0;
    const auto epoch = state.epoch.load();
    state.epoch.store((epoch | 1) + 1, std::memory_order_release);
}

} // namespace Placement
