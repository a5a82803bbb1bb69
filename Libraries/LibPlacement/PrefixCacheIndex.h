#pragma once

#include <LibPlacement/PromptBlocks.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Placement {

/// The index of an upstream in an UpstreamTable.
using UpstreamSlot = std::uint32_t;

/// Time since the owner of the index was created, plus one millisecond; zero means never.
using IndexTime = std::chrono::duration<std::uint32_t, std::milli>;

/// An upstream that is expected to have one block cached.
struct Holder
{
    UpstreamSlot slot = 0;
    /// The upstream's epoch when the holder was recorded; zero marks an unused element. A holder is
    /// invalid if the upstream has a different epoch now.
    std::uint32_t epoch = 0;
    /// The time of the last known use of the block at the upstream.
    IndexTime lastUse {0};
};

/// The maximum number of holders per block; a new one replaces the least recently used.
constexpr std::size_t MaxHolders = 8;

/// The index entry of one block: its expected holders and its request rate.
struct PrefixCacheEntry
{
    BlockHash block = 0;
    /// The number of requests for the block, decaying with RequestDecayTime.
    float decayedRequests = 0;
    /// The time up to which decayedRequests has been decayed.
    IndexTime decayedAt {0};
    /// The time at which this instance last sent a request for the block.
    IndexTime usedAt {0};
    std::array<Holder, MaxHolders> holders {};

    /// Returns the number of requests, decayed up to now.
    float decayedRequestsNow(IndexTime now) const;
    /// Returns the requests per second for the block as seen by this instance.
    double rate(IndexTime now) const;
};

/// The prefix-cache index: a bounded hash table that records which upstreams are expected to have
/// which blocks cached. All memory is allocated at construction. When a bucket is full, the entry
/// with the fewest decayed requests is replaced. Thread-safe: each shard has its own lock, held
/// while one bucket is accessed.
class PrefixCacheIndex
{
public:
    /// Creates an index with room for about `capacity` blocks.
    explicit PrefixCacheIndex(std::size_t capacity);

    /// Copies the entry of the block to `entry`. Returns false if there is none.
    bool find(BlockHash block, PrefixCacheEntry &entry) const;
    /// Counts a request for the block and records the upstream as a holder that used it now.
    void recordUse(BlockHash block, UpstreamSlot slot, std::uint32_t epoch, IndexTime now);
    /// Records the upstream as a holder that last used the block at the given time, unless a later
    /// use is known.
    void recordHolder(BlockHash block, UpstreamSlot slot, std::uint32_t epoch, IndexTime lastUse);
    /// Removes the upstream from the holders of the block, unless it used the block after `upTo`.
    void removeHolder(BlockHash block, UpstreamSlot slot, IndexTime upTo);
    /// Imports the decayed requests seen by another instance; the larger of both values is kept.
    void importRequests(BlockHash block, float decayedRequests, IndexTime now);
    /// Calls `visit` with a copy of every entry. No lock is held during the call.
    void forEach(const std::function<void(const PrefixCacheEntry &)> &visit) const;

private:
    static constexpr std::size_t ShardCount = 64;
    static constexpr std::size_t BucketSize = 8;

    struct Bucket
    {
        std::array<PrefixCacheEntry, BucketSize> entries {};
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::vector<Bucket> buckets;
    };

    Shard &shardOf(BlockHash block) const { return m_shards[block % ShardCount]; }
    /// Returns the bucket of the block in its shard.
    Bucket &bucketOf(Shard &shard, BlockHash block) const
    {
        return shard.buckets[(block / ShardCount) % shard.buckets.size()];
    }
    /// Returns the entry of the block in the bucket, or null if there is none.
    static PrefixCacheEntry *findIn(Bucket &bucket, BlockHash block);
    /// Returns the entry of the block. A new entry replaces the one with the fewest decayed
    /// requests.
    static PrefixCacheEntry &findOrReplace(Bucket &bucket, BlockHash block, IndexTime now);

    std::unique_ptr<Shard[]> m_shards;
};

} // namespace Placement
