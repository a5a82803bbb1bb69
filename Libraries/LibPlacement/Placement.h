#pragma once

#include <LibPlacement/CandidateSet.h>

#include <algorithm>
#include <random>

namespace Placement {

/// Settings of the placement algorithm. Each of its parts can be switched off to measure its
/// effect.
struct PlacementSettings
{
    /// The number of blocks that the prefix-cache index has room for; each takes about 120 bytes.
    std::size_t prefixIndexCapacity = 65536;
    /// Credits the upstreams that are expected to have blocks of the prompt cached.
    bool usesPrefixIndex = true;
    /// Credits the preferred upstreams of each block.
    bool usesPreferredUpstreams = true;
    /// Increases the number of preferred upstreams with the request rate of the prefix.
    bool scalesPreferredUpstreams = true;
    /// Adds the requests sent since the upstream's last load report to its load.
    bool usesOwnSends = true;
    /// Accounts for upstreams that are slower than configured or have stalled.
    bool usesSlowness = true;
    /// Applies the cache events of upstreams to the prefix-cache index.
    bool usesCacheEvents = true;
    /// Chooses at random among the candidates of nearly equal cost.
    bool randomises = true;
    /// The weight of the prefill time relative to the queue wait. It is above 1 because storing
    /// uncached tokens evicts other cached ones.
    double missWeight = 4;
    /// The assumed probability that a preferred upstream has a block cached if the index has no
    /// information about it.
    double preferredUpstreamPrior = 0.2;
    /// The assumed number of requests of each sibling that the last load report does not include,
    /// as a share of this instance's own.
    double siblingShare = 0.1;
    /// The utilisation of an upstream by one prefix above which the prefix gets another preferred
    /// upstream.
    double preferredUpstreamUtilisation = 0.4;
    /// Candidates count as equal if their cost exceeds the lowest one by at most this fraction of
    /// it plus nearEqual.
    double nearEqualShare = 0.05;
    /// The absolute part of the tolerance within which costs count as equal.
    Seconds nearEqual {0.005};
};

/// One request to place.
struct PlacementRequest
{
    const PromptBlocks &blocks;
    /// Added to the cost of each candidate, by position in the set; empty for none. Callers use it
    /// to prefer their own capacity.
    std::span<const Seconds> preference;
    /// The upstreams that were already tried.
    std::span<const UpstreamSlot> excluded;
};

/// The cost of a candidate and its components.
struct CostTerms
{
    UpstreamSlot slot = 0;
    std::uint32_t epoch = 0;
    std::uint64_t expectedCachedTokens = 0;
    bool isPreferred = false;
    bool isExcluded = false;
    Seconds queueWait {0};
    Seconds prefill {0};
    /// The estimated slowdown of the upstream relative to its configured speed; queueWait and
    /// prefill include it.
    double slowness = 1;
    /// The time without progress on waiting requests beyond a grace period.
    Seconds stall {0};
    Seconds preference {0};
    Seconds total {0};
};

/// A chosen upstream. The caller passes the decision back when it reports the progress of the
/// request.
struct Decision
{
    UpstreamSlot slot = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    std::uint64_t expectedCachedTokens = 0;
    CostTerms terms;
    IndexTime decidedAt {0};
    Core::Clock::Monotonic sentAt;
};

/// All candidates that were evaluated, the chosen one first.
struct Explanation
{
    struct Row
    {
        Core::UpstreamId upstream;
        CostTerms terms;
    };
    std::vector<Row> rows;
};

/// An entry of the prefix-cache index to be exported to a sibling.
struct FrequentPrefix
{
    struct Location
    {
        Core::UpstreamId upstream;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds age {0};
    };
    BlockHash block = 0;
    /// The decayed number of requests; comparable between instances.
    float decayedRequests = 0;
    std::vector<Location> holders;
};

/// Chooses upstreams by the lowest expected time to first token. All functions are thread-safe.
/// choose() and the functions that record the progress of requests do not allocate heap memory.
class Placement
{
public:
    /// The clock must outlive the object.
    Placement(const Core::Clock &clock, const PlacementSettings &settings);

    /// Adds or updates an upstream, with its incarnation.
    UpstreamSlot noteUpstream(const UpstreamView &view) { return m_upstreams.add(view); }
    /// Records the incarnation of the upstream. A newer one invalidates all estimates and index
    /// entries of the upstream; an older one is ignored.
    void noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation);
    /// Removes the upstream and invalidates all its estimates and index entries. noteUpstream() may
    /// add it again.
    void noteRemoved(UpstreamSlot slot) { m_upstreams.remove(slot); }
    /// Sets how many instances share the upstreams, including this one.
    void noteInstanceCount(std::size_t count) { m_instances = std::max<std::size_t>(1, count); }
    /// Creates the set to pass to choose() from slots returned by noteUpstream().
    CandidateSet makeCandidateSet(std::span<const UpstreamSlot> slots) const;

    /// Chooses a candidate that is neither removed nor excluded, if there is one. Writes the
    /// evaluated candidates to `explanation` if given, which allocates heap memory.
    std::optional<Decision> choose(const PlacementRequest &request, const CandidateSet &candidates,
                                   std::mt19937_64 &rng, Explanation *explanation = nullptr);

    /// Records that the request was sent to the chosen upstream.
    void noteSent(Decision &decision, const PromptBlocks &blocks);
    /// Records the first token and the number of cached prompt tokens, if the upstream reported it.
    void noteFirstToken(const Decision &decision, const PromptBlocks &blocks,
                        std::optional<std::uint64_t> cachedTokens);
    /// Records the number of cached prompt tokens for engines that report it only at the end of the
    /// answer rather than with the first token.
    void noteCachedTokens(const Decision &decision, const PromptBlocks &blocks,
                          std::uint64_t cachedTokens);
    /// Records that the answer is complete.
    void noteAnswer(const Decision &decision);
    /// Records that a sent request failed or was cancelled before its first token.
    void noteFailed(const Decision &decision);
    /// Records a load report. One from an older incarnation is ignored; one from a newer
    /// incarnation starts that incarnation.
    void noteLoadReport(UpstreamSlot slot, const LoadReport &report);
    /// Records that the upstream stored or evicted the block `age` ago.
    void noteCacheEvent(UpstreamSlot slot, std::uint64_t incarnation, BlockHash block,
                        bool isStored, std::chrono::milliseconds age);

    /// Returns the most frequently requested prefixes for which this instance sent a request in the
    /// last `within`, the most requested first. A short time serves to update a running sibling, a
    /// long one to initialise a sibling that is starting.
    std::vector<FrequentPrefix>
    exportFrequentPrefixes(std::size_t limit,
                           std::chrono::milliseconds within = std::chrono::hours(1)) const;
    /// Imports the entries of a sibling. Holders whose incarnation is not the current one are
    /// skipped.
    void importFrequentPrefixes(std::span<const FrequentPrefix> entries);

    const UpstreamTable &upstreams() const { return m_upstreams; }

private:
    struct Scratch;

    IndexTime now() const;
    /// Collects the candidates: expected holders, preferred upstreams, and all other members of the
    /// set or a random sample of them.
    void gatherCandidates(Scratch &scratch, const PlacementRequest &request,
                          const CandidateSet &candidates, std::mt19937_64 &rng) const;
    /// Adds the expected cached tokens of the holders and preferred upstreams of each block.
    void creditBlocks(Scratch &scratch, const PlacementRequest &request,
                      const CandidateSet &candidates) const;
    /// Credits the block at the index to its expected holders.
    void creditHolders(Scratch &scratch, const PrefixCacheEntry &entry, std::size_t block,
                       const CandidateSet &candidates) const;
    /// Returns how many preferred upstreams a prefix should have to which this instance sends
    /// `rate` requests per second.
    std::size_t preferredUpstreamCount(double rate) const;
    /// Returns the probability that a block last used at `lastUse` is still cached.
    static double cachedProbability(IndexTime lastUse, IndexTime now);
    /// Computes all cost terms. The slot and the expected cached tokens must already be set.
    void computeCost(CostTerms &terms, const PlacementRequest &request,
                     const CandidateSet &candidates, IndexTime now) const;
    /// Estimates the time until the upstream starts a request sent now, from its last load report
    /// plus the requests sent since, minus the tokens processed since at `rate` tokens per second.
    Seconds queueWait(const UpstreamState &state, double rate, IndexTime now) const;
    /// Updates the slowness of the upstream from the time that its first token took.
    void updateSlowness(const Decision &decision, UpstreamState &state, IndexTime now);
    /// Returns the current slowness of the upstream: the factor by which its first tokens take
    /// longer than estimated, which decays towards 1.
    static double slowness(const UpstreamState &state, IndexTime now);
    /// Returns the time without progress on this instance's waiting requests beyond a grace period.
    static Seconds stall(const UpstreamState &state, IndexTime now);
    /// Writes the evaluated candidates to the explanation, the chosen one first.
    void explain(Explanation &explanation, const Scratch &scratch, UpstreamSlot chosen) const;

    const Core::Clock &m_clock;
    const Core::Clock::Monotonic m_start;
    const PlacementSettings m_settings;
    UpstreamTable m_upstreams;
    PrefixCacheIndex m_prefixIndex;
    std::atomic<std::size_t> m_instances {1};
    /// Average prefill time of a request in seconds, from which the number of preferred upstreams
    /// is computed.
    std::atomic<float> m_prefillPerRequest {0.1F};
    /// Average time in seconds from sending a request to the end of its answer.
    std::atomic<float> m_secondsPerRequest {2};
    /// Average ratio of actual to estimated time to first token, over all upstreams.
    std::atomic<float> m_averageLateness {1};
};

} // namespace Placement
