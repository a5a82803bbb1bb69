#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibPlacement/PrefixCacheIndex.h>

#include <atomic>
#include <optional>
#include <unordered_map>

namespace Placement {

/// A time in seconds, as costs are reckoned.
using Seconds = std::chrono::duration<double>;

/// Upstreams that one table can number.
constexpr std::size_t MaxUpstreams = 4096;

/// What an instance knows of an upstream from its settings and its hello.
struct UpstreamView
{
    Core::UpstreamId id;
    /// Grows with each start of the upstream's process.
    std::uint64_t incarnation = 0;
    /// Relative size for the rendezvous hashing.
    double weight = 1;
    double prefillTokensPerSecond = 20000;
    /// Requests decoded side by side.
    std::uint32_t slots = 32;
};

/// An upstream's word on its load.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    /// When the upstream measured it, on this instance's clock as well as known.
    Core::Clock::Monotonic measuredAt;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Prompt tokens that wait for prefill.
    std::uint64_t pendingPrefillTokens = 0;
};

/// Requests and tokens sent in the latest stretch of time, by time of sending. Lock-free; a count
/// may miss a send that races with it.
class RecentSends
{
public:
    struct Sum
    {
        std::uint64_t tokens = 0;
        std::uint32_t requests = 0;
    };
    void add(IndexTime now, std::uint64_t tokens);
    /// What was sent in or after the time, as far as the ring reaches back.
    Sum since(IndexTime time, IndexTime now) const;
    void clear();

private:
    static constexpr std::uint32_t BucketMilliseconds = 100;
    static constexpr std::size_t BucketCount = 32;
    // Bucket number (24 bits), requests (12 bits), tokens (28 bits).
    std::array<std::atomic<std::uint64_t>, BucketCount> m_buckets {};
};

/// The present state of one upstream. Every field is read and written by several threads.
struct UpstreamState
{
    std::atomic<std::uint64_t> incarnation {0};
    /// Odd numbers and zero mean gone. Raised with every new incarnation and when it goes.
    std::atomic<std::uint32_t> epoch {0};
    std::atomic<float> weight {1};
    std::atomic<float> prefillTokensPerSecond {1};
    std::atomic<std::uint32_t> slots {1};

    std::atomic<std::uint32_t> reportedAt {0};
    std::atomic<std::uint32_t> running {0};
    std::atomic<std::uint32_t> queued {0};
    std::atomic<std::uint64_t> pendingPrefillTokens {0};
    RecentSends sends;

    /// How many times longer than reckoned its first tokens take.
    std::atomic<float> slowness {1};
    std::atomic<std::uint32_t> slownessAt {0};
    /// Own requests that wait for their first token, and when one last got on.
    std::atomic<std::uint32_t> waiting {0};
    std::atomic<std::uint32_t> progressAt {0};
};

/// Numbers the upstreams and keeps their states. Numbers are never reused for another upstream.
/// Names are looked up under a lock; states are lock-free.
class UpstreamTable
{
public:
    UpstreamTable();

    /// Adds or updates an upstream and takes over its incarnation as noteIncarnation() does.
    /// Throws Core::Error(Internal) when MaxUpstreams have been numbered.
    UpstreamSlot add(const UpstreamView &view);
    /// The number of a known upstream.
    std::optional<UpstreamSlot> find(const Core::UpstreamId &id) const;
    /// The name of a numbered upstream.
    Core::UpstreamId id(UpstreamSlot slot) const;
    /// Takes over an incarnation: a newer one starts a new epoch, an older one is late word and
    /// changes nothing. Returns whether the incarnation is the present one.
    bool noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation);
    /// Marks the upstream as gone until its next add().
    void remove(UpstreamSlot slot);
    /// Whether the epoch is the upstream's present one and it is not gone.
    bool isCurrent(UpstreamSlot slot, std::uint32_t epoch) const;

    UpstreamState &state(UpstreamSlot slot) { return m_states[slot]; }
    const UpstreamState &state(UpstreamSlot slot) const { return m_states[slot]; }

private:
    /// Starts the next epoch of a live upstream with nothing known of it.
    static void startEpoch(UpstreamState &state);

    mutable std::mutex m_mutex;
    std::vector<Core::UpstreamId> m_ids;
    std::unordered_map<Core::UpstreamId, UpstreamSlot> m_slots;
    std::unique_ptr<UpstreamState[]> m_states;
};

} // namespace Placement
