#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibPlacement/PrefixCacheIndex.h>

#include <atomic>
#include <optional>
#include <unordered_map>

namespace Placement {

/// Costs are expressed in seconds.
using Seconds = std::chrono::duration<double>;

/// The maximum number of upstreams in one table, including removed ones.
constexpr std::size_t MaxUpstreams = 4096;

/// The properties of an upstream, from the configuration and from the upstream's own announcement.
struct UpstreamView
{
    Core::UpstreamId id;
    /// Increases with each start of the upstream's process.
    std::uint64_t incarnation = 0;
    /// Relative weight in rendezvous hashing.
    double weight = 1;
    double prefillTokensPerSecond = 20000;
    /// The number of requests that the upstream decodes concurrently.
    std::uint32_t slots = 32;
};

/// A report of an upstream on its load.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    /// When the upstream measured its load, as estimated on this instance's clock.
    Core::Clock::Monotonic measuredAt;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// The number of prompt tokens waiting for prefill.
    std::uint64_t pendingPrefillTokens = 0;
};

/// Counts the requests and tokens sent recently, in a ring of time buckets. Lock-free; a sum may
/// miss a concurrent send.
class RecentSends
{
public:
    struct Sum
    {
        std::uint64_t tokens = 0;
        std::uint32_t requests = 0;
    };
    void add(IndexTime now, std::uint64_t tokens);
    /// Returns the sum of sends since the given time, as far as the ring reaches back.
    Sum since(IndexTime time, IndexTime now) const;
    void clear();

private:
    static constexpr std::uint32_t BucketMilliseconds = 100;
    static constexpr std::size_t BucketCount = 32;
    // Each element packs the bucket number (24 bits), requests (12 bits) and tokens (28 bits).
    std::array<std::atomic<std::uint64_t>, BucketCount> m_buckets {};
};

/// The current state of one upstream. All members are accessed by several threads.
struct UpstreamState
{
    std::atomic<std::uint64_t> incarnation {0};
    /// Odd if the upstream was removed, zero if it was never live. Increased with each new
    /// incarnation and on removal.
    std::atomic<std::uint32_t> epoch {0};
    std::atomic<float> weight {1};
    std::atomic<float> prefillTokensPerSecond {1};
    std::atomic<std::uint32_t> slots {1};

    std::atomic<std::uint32_t> reportedAt {0};
    std::atomic<std::uint32_t> running {0};
    std::atomic<std::uint32_t> queued {0};
    std::atomic<std::uint64_t> pendingPrefillTokens {0};
    RecentSends sends;

    /// The factor by which the first tokens of the upstream take longer than estimated.
    std::atomic<float> slowness {1};
    std::atomic<std::uint32_t> slownessAt {0};
    /// This instance's requests that wait for their first token, and the time of the last progress
    /// on one of them.
    std::atomic<std::uint32_t> waiting {0};
    std::atomic<std::uint32_t> progressAt {0};
};

/// Assigns a slot to each upstream and stores its state. Slots are never reused for other
/// upstreams. Name lookups take a lock; states are accessed without one.
class UpstreamTable
{
public:
    UpstreamTable();

    /// Adds or updates an upstream and records its incarnation like noteIncarnation(). Throws
    /// Core::Error(Internal) if the table already has MaxUpstreams.
    UpstreamSlot add(const UpstreamView &view);
    /// Returns the slot of an upstream, if it was ever added.
    std::optional<UpstreamSlot> find(const Core::UpstreamId &id) const;
    /// Returns the name of the upstream in the slot.
    Core::UpstreamId id(UpstreamSlot slot) const;
    /// Records an incarnation of the upstream: a newer one starts a new epoch, an older one comes
    /// from a delayed message and is ignored. Returns whether the incarnation is now the current
    /// one.
    bool noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation);
    /// Marks the upstream as removed until it is added again.
    void remove(UpstreamSlot slot);
    /// Whether the epoch is the current one of the upstream and the upstream is not removed.
    bool isCurrent(UpstreamSlot slot, std::uint32_t epoch) const;

    UpstreamState &state(UpstreamSlot slot) { return m_states[slot]; }
    const UpstreamState &state(UpstreamSlot slot) const { return m_states[slot]; }

private:
    /// Starts the next epoch of a live upstream and resets its load and slowness.
    static void startEpoch(UpstreamState &state);

    mutable std::mutex m_mutex;
    std::vector<Core::UpstreamId> m_ids;
    std::unordered_map<Core::UpstreamId, UpstreamSlot> m_slots;
    std::unique_ptr<UpstreamState[]> m_states;
};

} // namespace Placement
