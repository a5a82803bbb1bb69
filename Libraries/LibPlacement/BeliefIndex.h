#pragma once

#include <LibPlacement/PromptPieces.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Placement {

/// The dense number that an upstream has in one UpstreamTable.
using UpstreamSlot = std::uint32_t;

/// Time since the index was made.
using BeliefTime = std::chrono::duration<std::uint32_t, std::milli>;

/// The belief that one upstream holds one piece.
struct Holder
{
    UpstreamSlot slot = 0;
    /// The upstream's epoch when the belief was formed; zero marks a free place. A belief of
    /// another epoch than the present one is void.
    std::uint32_t epoch = 0;
    /// When the piece was last known to be used there.
    BeliefTime lastUse {0};
};

/// Upstreams that one piece is believed at; the least recently used gives way to a new one.
constexpr std::size_t MaxHolders = 8;

/// What is believed of one piece.
struct Belief
{
    PieceHash piece = 0;
    /// Requests for the piece, decaying with HeatDecay.
    float heat = 0;
    BeliefTime heatAt {0};
    /// When this instance itself last sent a request for the piece.
    BeliefTime usedAt {0};
    std::array<Holder, MaxHolders> holders {};

    /// The heat, decayed up to now.
    float heatNow(BeliefTime now) const;
    /// Requests a second for the piece, as this instance sees them.
    double rate(BeliefTime now) const;
};

/// A bounded table of beliefs. All memory is taken at construction; the coldest belief of a bucket
/// gives way. Safe from several threads: each shard has its own lock, held for one bucket's work.
class BeliefIndex
{
public:
    /// Room for about this many pieces.
    explicit BeliefIndex(std::size_t capacity);

    /// Copies the belief of the piece. Returns false if there is none.
    bool find(PieceHash piece, Belief &belief) const;
    /// Counts a request for the piece and marks the upstream as a holder used now.
    void recordUse(PieceHash piece, UpstreamSlot slot, std::uint32_t epoch, BeliefTime now);
    /// Marks the upstream as a holder last used at the time, unless a later use is known.
    void recordHolder(PieceHash piece, UpstreamSlot slot, std::uint32_t epoch, BeliefTime lastUse);
    /// Forgets that the upstream holds the piece, unless a use after the time is known.
    void removeHolder(PieceHash piece, UpstreamSlot slot, BeliefTime upTo);
    /// Adds heat that another instance saw.
    void importHeat(PieceHash piece, float heat, BeliefTime now);
    /// Calls visit with a copy of every belief. Takes the shards' locks one at a time.
    void forEach(const std::function<void(const Belief &)> &visit) const;

private:
    static constexpr std::size_t Shards = 64;
    static constexpr std::size_t BucketSize = 8;

    struct Bucket
    {
        std::array<Belief, BucketSize> beliefs {};
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::vector<Bucket> buckets;
    };

    Shard &shardOf(PieceHash piece) const { return m_shards[piece % Shards]; }
    /// The bucket of the piece in its shard.
    Bucket &bucketOf(Shard &shard, PieceHash piece) const
    {
        return shard.buckets[(piece / Shards) % shard.buckets.size()];
    }
    /// The belief of the piece in the bucket, or null.
    static Belief *findIn(Bucket &bucket, PieceHash piece);
    /// The belief of the piece, in place of the coldest one if it is new.
    static Belief &findOrReplace(Bucket &bucket, PieceHash piece, BeliefTime now);

    std::unique_ptr<Shard[]> m_shards;
};

} // namespace Placement
