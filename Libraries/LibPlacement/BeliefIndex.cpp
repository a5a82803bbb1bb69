#include <LibPlacement/BeliefIndex.h>

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// Heat falls to 1/e in this time. Short, so that a shift of the hot prefixes shows in seconds.
constexpr std::chrono::duration<double> HeatDecay {10.0};

double decayedHeat(const Belief &belief, BeliefTime now)
{
    if (now <= belief.heatAt)
        return belief.heat;
    const std::chrono::duration<double> age = now - belief.heatAt;
    return belief.heat * std::exp(-age / HeatDecay);
}

/// The place of the upstream among the holders: its own, a free one, or the least recently used.
Holder &holderPlace(Belief &belief, UpstreamSlot slot)
{
    Holder *place = belief.holders.data();
    for (auto &holder : belief.holders) {
        if (holder.epoch != 0 && holder.slot == slot)
            return holder;
        if (place->epoch != 0 && (holder.epoch == 0 || holder.lastUse < place->lastUse))
            place = &holder;
    }
    *place = {};
    return *place;
}

void setHolder(Belief &belief, UpstreamSlot slot, std::uint32_t epoch, BeliefTime lastUse)
{
    auto &holder = holderPlace(belief, slot);
    const bool isSame = holder.epoch == epoch;
    holder = {slot, epoch, isSame ? std::max(holder.lastUse, lastUse) : lastUse};
}

} // namespace

float Belief::heatNow(BeliefTime now) const
{
    return static_cast<float>(decayedHeat(*this, now));
}

double Belief::rate(BeliefTime now) const
{
    return decayedHeat(*this, now) / HeatDecay.count();
}

BeliefIndex::BeliefIndex(std::size_t capacity)
    : m_shards(std::make_unique<Shard[]>(Shards))
{
    const auto buckets = std::max<std::size_t>(1, capacity / (Shards * BucketSize));
    for (std::size_t i = 0; i < Shards; ++i)
        m_shards[i].buckets.resize(buckets);
}

bool BeliefIndex::find(PieceHash piece, Belief &belief) const
{
    auto &shard = shardOf(piece);
    std::scoped_lock lock(shard.mutex);
    const auto *found = findIn(bucketOf(shard, piece), piece);
    if (found == nullptr)
        return false;
    belief = *found;
    return true;
}

void BeliefIndex::recordUse(PieceHash piece, UpstreamSlot slot, std::uint32_t epoch, BeliefTime now)
{
    auto &shard = shardOf(piece);
    std::scoped_lock lock(shard.mutex);
    auto &belief = findOrReplace(bucketOf(shard, piece), piece, now);
    belief.heat = static_cast<float>(decayedHeat(belief, now) + 1);
    belief.heatAt = now;
    belief.usedAt = now;
    setHolder(belief, slot, epoch, now);
}

void BeliefIndex::recordHolder(PieceHash piece, UpstreamSlot slot, std::uint32_t epoch,
                               BeliefTime lastUse)
{
    auto &shard = shardOf(piece);
    std::scoped_lock lock(shard.mutex);
    setHolder(findOrReplace(bucketOf(shard, piece), piece, lastUse), slot, epoch, lastUse);
}

void BeliefIndex::removeHolder(PieceHash piece, UpstreamSlot slot, BeliefTime upTo)
{
    auto &shard = shardOf(piece);
    std::scoped_lock lock(shard.mutex);
    auto *belief = findIn(bucketOf(shard, piece), piece);
    if (belief == nullptr)
        return;
    for (auto &holder : belief->holders) {
        if (holder.epoch != 0 && holder.slot == slot && holder.lastUse <= upTo)
            holder = {};
    }
}

void BeliefIndex::importHeat(PieceHash piece, float heat, BeliefTime now)
{
    auto &shard = shardOf(piece);
    std::scoped_lock lock(shard.mutex);
    auto &belief = findOrReplace(bucketOf(shard, piece), piece, now);
    belief.heat = static_cast<float>(std::max<double>(decayedHeat(belief, now), heat));
    belief.heatAt = now;
}

void BeliefIndex::forEach(const std::function<void(const Belief &)> &visit) const
{
    for (std::size_t i = 0; i < Shards; ++i) {
        for (std::size_t bucket = 0; bucket < m_shards[i].buckets.size(); ++bucket) {
            Bucket copy;
            {
                std::scoped_lock lock(m_shards[i].mutex);
                copy = m_shards[i].buckets[bucket];
            }
            for (const auto &belief : copy.beliefs) {
                if (belief.piece != 0)
                    visit(belief);
            }
        }
    }
}

Belief *BeliefIndex::findIn(Bucket &bucket, PieceHash piece)
{
    const auto it = std::find_if(bucket.beliefs.begin(), bucket.beliefs.end(),
                                 [piece](const Belief &belief) { return belief.piece == piece; });
    return it == bucket.beliefs.end() ? nullptr : &*it;
}

Belief &BeliefIndex::findOrReplace(Bucket &bucket, PieceHash piece, BeliefTime now)
{
    if (auto *found = findIn(bucket, piece))
        return *found;
    const auto coldest =
        std::min_element(bucket.beliefs.begin(), bucket.beliefs.end(),
                         [now](const Belief &left, const Belief &right) {
                             if ((left.piece == 0) != (right.piece == 0))
                                 return left.piece == 0;
                             return decayedHeat(left, now) < decayedHeat(right, now);
                         });
    *coldest = {};
    coldest->piece = piece;
    coldest->heatAt = now;
    return *coldest;
}

} // namespace Placement
