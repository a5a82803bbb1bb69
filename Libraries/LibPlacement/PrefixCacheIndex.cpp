#include <LibPlacement/PrefixCacheIndex.h>

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// The time in which decayed requests fall to 1/e. It is short so that the index follows a change
/// of the frequent prefixes within seconds.
constexpr std::chrono::duration<double> RequestDecayTime {10.0};

double decayedRequestsAt(const PrefixCacheEntry &entry, IndexTime now)
{
    if (now <= entry.decayedAt)
        return entry.decayedRequests;
    const std::chrono::duration<double> age = now - entry.decayedAt;
    return entry.decayedRequests * std::exp(-age / RequestDecayTime);
}

/// Returns the array element for the upstream: its existing one, or an unused or the least recently
/// used one, which is cleared.
Holder &findOrReplaceHolder(PrefixCacheEntry &entry, UpstreamSlot slot)
{
    Holder *target = entry.holders.data();
    for (auto &holder : entry.holders) {
        if (holder.epoch != 0 && holder.slot == slot)
            return holder;
        if (target->epoch != 0 && (holder.epoch == 0 || holder.lastUse < target->lastUse))
            target = &holder;
    }
    *target = {};
    return *target;
}

void setHolder(PrefixCacheEntry &entry, UpstreamSlot slot, std::uint32_t epoch, IndexTime lastUse)
{
    auto &holder = findOrReplaceHolder(entry, slot);
    const bool isSame = holder.epoch == epoch;
    holder = {slot, epoch, isSame ? std::max(holder.lastUse, lastUse) : lastUse};
}

} // namespace

float PrefixCacheEntry::decayedRequestsNow(IndexTime now) const
{
    return static_cast<float>(decayedRequestsAt(*this, now));
}

double PrefixCacheEntry::rate(IndexTime now) const
{
    return decayedRequestsAt(*this, now) / RequestDecayTime.count();
}

PrefixCacheIndex::PrefixCacheIndex(std::size_t capacity)
    : m_shards(std::make_unique<Shard[]>(ShardCount))
{
    const auto buckets = std::max<std::size_t>(1, capacity / (ShardCount * BucketSize));
    for (std::size_t i = 0; i < ShardCount; ++i)
        m_shards[i].buckets.resize(buckets);
}

bool PrefixCacheIndex::find(BlockHash block, PrefixCacheEntry &entry) const
{
    auto &shard = shardOf(block);
    std::scoped_lock lock(shard.mutex);
    const auto *found = findIn(bucketOf(shard, block), block);
    if (found == nullptr)
        return false;
    entry = *found;
    return true;
}

void PrefixCacheIndex::recordUse(BlockHash block, UpstreamSlot slot, std::uint32_t epoch,
                                 IndexTime now)
{
    auto &shard = shardOf(block);
    std::scoped_lock lock(shard.mutex);
    auto &entry = findOrReplace(bucketOf(shard, block), block, now);
    entry.decayedRequests = static_cast<float>(decayedRequestsAt(entry, now) + 1);
    entry.decayedAt = now;
    entry.usedAt = now;
    setHolder(entry, slot, epoch, now);
}

void PrefixCacheIndex::recordHolder(BlockHash block, UpstreamSlot slot, std::uint32_t epoch,
                                    IndexTime lastUse)
{
    auto &shard = shardOf(block);
    std::scoped_lock lock(shard.mutex);
    setHolder(findOrReplace(bucketOf(shard, block), block, lastUse), slot, epoch, lastUse);
}

void PrefixCacheIndex::removeHolder(BlockHash block, UpstreamSlot slot, IndexTime upTo)
{
    auto &shard = shardOf(block);
    std::scoped_lock lock(shard.mutex);
    auto *entry = findIn(bucketOf(shard, block), block);
    if (entry == nullptr)
        return;
    for (auto &holder : entry->holders) {
        if (holder.epoch != 0 && holder.slot == slot && holder.lastUse <= upTo)
            holder = {};
    }
}

void PrefixCacheIndex::importRequests(BlockHash block, float decayedRequests, IndexTime now)
{
    auto &shard = shardOf(block);
    std::scoped_lock lock(shard.mutex);
    auto &entry = findOrReplace(bucketOf(shard, block), block, now);
    entry.decayedRequests =
        static_cast<float>(std::max<double>(decayedRequestsAt(entry, now), decayedRequests));
    entry.decayedAt = now;
}

void PrefixCacheIndex::forEach(const std::function<void(const PrefixCacheEntry &)> &visit) const
{
    for (std::size_t i = 0; i < ShardCount; ++i) {
        for (std::size_t bucket = 0; bucket < m_shards[i].buckets.size(); ++bucket) {
            Bucket copy;
            {
                std::scoped_lock lock(m_shards[i].mutex);
                copy = m_shards[i].buckets[bucket];
            }
            for (const auto &entry : copy.entries) {
                if (entry.block != 0)
                    visit(entry);
            }
        }
    }
}

PrefixCacheEntry *PrefixCacheIndex::findIn(Bucket &bucket, BlockHash block)
{
    const auto it =
        std::find_if(bucket.entries.begin(), bucket.entries.end(),
                     [block](const PrefixCacheEntry &entry) { return entry.block == block; });
    return it == bucket.entries.end() ? nullptr : &*it;
}

PrefixCacheEntry &PrefixCacheIndex::findOrReplace(Bucket &bucket, BlockHash block, IndexTime now)
{
    if (auto *found = findIn(bucket, block))
        return *found;
    const auto leastRequested =
        std::min_element(bucket.entries.begin(), bucket.entries.end(),
                         [now](const PrefixCacheEntry &left, const PrefixCacheEntry &right) {
                             if ((left.block == 0) != (right.block == 0))
                                 return left.block == 0;
                             return decayedRequestsAt(left, now) < decayedRequestsAt(right, now);
                         });
    *leastRequested = {};
    leastRequested->block = block;
    leastRequested->decayedAt = now;
    return *leastRequested;
}

} // namespace Placement
