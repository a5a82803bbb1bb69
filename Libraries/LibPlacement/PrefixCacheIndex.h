#pragma once

#include <LibPlacement/PromptBlocks.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Placement {

/// The dense number that an upstream has in one UpstreamTable.
using UpstreamSlot = std::uint32_t;

/// Time since the index was made.
using IndexTime = std::chrono::duration<std::uint32_t, std::milli>;

/// An upstream that is expected to have one block cached.
struct Holder
{
    UpstreamSlot slot = 0;
    /// The upstream's epoch when the entry was made; zero marks a free place. An entry of another
    /// epoch than the present one is void.
    std::uint32_t epoch = 0;
    /// When the block was last known to be used there.
    IndexTime lastUse {0};
};

/// Holders kept for one block; the least recently used gives way to a new one.
constexpr std::size_t MaxHolders = 8;

/// What is known of one block: its holders and how often it is requested.
struct PrefixCacheEntry
{
    BlockHash block = 0;
    /// Requests for the block, decaying with RequestDecayTime.
    float decayedRequests = 0;
    IndexTime decayedAt {0};
    /// When this instance itself last sent a request for the block.
    IndexTime usedAt {0};
    std::array<Holder, MaxHolders> holders {};

    /// The requests, decayed up to now.
    float decayedRequestsNow(IndexTime now) const;
    /// Requests a second for the block, as this instance sees them.
    double rate(IndexTime now) const;
};

/// A bounded table of entries. All memory is taken at construction; the entry of a bucket with the
/// fewest decayed requests gives way. Safe from several threads: each shard has its own lock, held
/// for one bucket's work.
class PrefixCacheIndex
{
public:
    /// Room for about this many blocks.
    explicit PrefixCacheIndex(std::size_t capacity);

    /// Copies the entry of the block. Returns false if there is none.
    bool find(BlockHash block, PrefixCacheEntry &entry) const;
    /// Counts a request for the block and marks the upstream as a holder used now.
    void recordUse(BlockHash block, UpstreamSlot slot, std::uint32_t epoch, IndexTime now);
    /// Marks the upstream as a holder last used at the time, unless a later use is known.
    void recordHolder(BlockHash block, UpstreamSlot slot, std::uint32_t epoch, IndexTime lastUse);
    /// Forgets that the upstream holds the block, unless a use after the time is known.
    void removeHolder(BlockHash block, UpstreamSlot slot, IndexTime upTo);
    /// Takes in decayed requests that another instance saw.
    void importRequests(BlockHash block, float decayedRequests, IndexTime now);
    /// Calls visit with a copy of every entry. Takes the shards' locks one at a time.
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
    /// The bucket of the block in its shard.
    Bucket &bucketOf(Shard &shard, BlockHash block) const
    {
        return shard.buckets[(block / ShardCount) % shard.buckets.size()];
    }
    /// The entry of the block in the bucket, or null.
    static PrefixCacheEntry *findIn(Bucket &bucket, BlockHash block);
    /// The entry of the block; a new one replaces that with the fewest decayed requests.
    static PrefixCacheEntry &findOrReplace(Bucket &bucket, BlockHash block, IndexTime now);

    std::unique_ptr<Shard[]> m_shards;
};

} // namespace Placement
