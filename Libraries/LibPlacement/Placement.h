#pragma once

#include <LibPlacement/CandidateSet.h>

#include <algorithm>
#include <random>

namespace Placement {

/// Parts of the decision, each of which can be switched off to see its worth.
struct PlacementSettings
{
    /// Blocks that the prefix-cache index has room for; one takes about 120 bytes.
    std::size_t prefixIndexCapacity = 65536;
    bool usesPrefixIndex = true;
    bool usesPreferredUpstreams = true;
    bool scalesPreferredUpstreams = true;
    bool usesOwnSends = true;
    bool usesSlowness = true;
    bool usesCacheEvents = true;
    bool randomises = true;
    /// How much a missed token weighs beside a waited one: storing it evicts another's.
    double missWeight = 4;
    /// Chance that a preferred upstream holds a block that nothing else is known of.
    double preferredUpstreamPrior = 0.2;
    /// Sends of each sibling, as a share of this instance's own, that a load report may miss.
    double siblingShare = 0.1;
    /// Load that one upstream should carry for one prefix before the prefix gets another preferred
    /// upstream.
    double preferredUpstreamUtilisation = 0.4;
    /// Candidates whose cost lies this share above the least count as equal.
    double nearEqualShare = 0.05;
    /// Candidates whose cost lies this far above the least count as equal.
    Seconds nearEqual {0.005};
};

/// One request to place.
struct PlacementRequest
{
    const PromptBlocks &blocks;
    /// Added to each candidate's cost, by position in the set; empty adds nothing. A caller
    /// expresses own capacity first by it.
    std::span<const Seconds> preference;
    /// Upstreams that were tried already.
    std::span<const UpstreamSlot> excluded;
};

/// What a candidate's cost is made of.
struct CostTerms
{
    UpstreamSlot slot = 0;
    std::uint32_t epoch = 0;
    std::uint64_t expectedCachedTokens = 0;
    bool isPreferred = false;
    bool isExcluded = false;
    Seconds queueWait {0};
    Seconds prefill {0};
    /// How many times slower than its settings say the upstream is taken to be; in both terms
    /// above.
    double slowness = 1;
    /// Time without progress beyond what was reckoned.
    Seconds stall {0};
    Seconds preference {0};
    Seconds total {0};
};

/// A chosen upstream, and the ticket by which the caller reports what became of the request.
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

/// Every candidate that was weighed, the chosen first.
struct Explanation
{
    struct Row
    {
        Core::UpstreamId upstream;
        CostTerms terms;
    };
    std::vector<Row> rows;
};

/// One entry of the prefix-cache index to hand to a sibling.
struct FrequentPrefix
{
    struct Location
    {
        Core::UpstreamId upstream;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds age {0};
    };
    BlockHash block = 0;
    /// Requests, decayed; comparable between instances.
    float decayedRequests = 0;
    std::vector<Location> holders;
};

/// Chooses upstreams by the least expected time to first token. All functions may be called from
/// several threads. choose() and the notes about requests take no heap memory.
class Placement
{
public:
    /// The clock must outlive the object.
    Placement(const Core::Clock &clock, const PlacementSettings &settings);

    /// Adds or updates an upstream, with its incarnation.
    UpstreamSlot noteUpstream(const UpstreamView &view) { return m_upstreams.add(view); }
    /// A newer incarnation voids everything believed of the upstream; an older one is ignored.
    void noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation);
    /// Voids everything believed of the upstream until noteUpstream() names it again.
    void noteRemoved(UpstreamSlot slot) { m_upstreams.remove(slot); }
    /// How many instances share the upstreams, this one included.
    void noteInstanceCount(std::size_t count) { m_instances = std::max<std::size_t>(1, count); }
    /// The set to pass to choose(), for upstreams that noteUpstream() numbered.
    CandidateSet makeCandidateSet(std::span<const UpstreamSlot> slots) const;

    /// Chooses a candidate that is neither gone nor excluded; empty if there is none. Explains
    /// itself into `explanation` if given, which takes heap memory.
    std::optional<Decision> choose(const PlacementRequest &request, const CandidateSet &candidates,
                                   std::mt19937_64 &rng, Explanation *explanation = nullptr);

    /// The request was sent as decided.
    void noteSent(Decision &decision, const PromptBlocks &blocks);
    /// The first token came, with the cached tokens that the upstream reported, if it did.
    void noteFirstToken(const Decision &decision, const PromptBlocks &blocks,
                        std::optional<std::uint64_t> cachedTokens);
    /// The answer's end told how many prompt tokens had been cached; for engines that say it only
    /// then, in place of noteFirstToken()'s argument.
    void noteCachedTokens(const Decision &decision, const PromptBlocks &blocks,
                          std::uint64_t cachedTokens);
    /// The answer ended after the time since it was sent.
    void noteAnswer(const Decision &decision);
    /// The request was sent but no first token will come (failed or cancelled).
    void noteFailed(const Decision &decision);
    /// Reports of another than the present incarnation are ignored or start a new one.
    void noteLoadReport(UpstreamSlot slot, const LoadReport &report);
    /// The upstream stored or evicted the block the given time ago.
    void noteCacheEvent(UpstreamSlot slot, std::uint64_t incarnation, BlockHash block,
                        bool isStored, std::chrono::milliseconds age);

    /// The most requested prefixes that this instance itself sent within the time, most requests
    /// first. A short time gives a sibling that is up what is new, a long one a sibling that
    /// starts what there is.
    std::vector<FrequentPrefix>
    exportFrequentPrefixes(std::size_t limit,
                           std::chrono::milliseconds within = std::chrono::hours(1)) const;
    /// Takes over a sibling's entries about upstreams whose incarnation is the present one here.
    void importFrequentPrefixes(std::span<const FrequentPrefix> entries);

    const UpstreamTable &upstreams() const { return m_upstreams; }

private:
    struct Scratch;

    IndexTime now() const;
    /// Gathers candidates: expected holders, preferred upstreams, and all or a sample of the rest.
    void gatherCandidates(Scratch &scratch, const PlacementRequest &request,
                          const CandidateSet &candidates, std::mt19937_64 &rng) const;
    /// Adds what the holders and preferred upstreams of each block are expected to have cached.
    void creditBlocks(Scratch &scratch, const PlacementRequest &request,
                      const CandidateSet &candidates) const;
    /// Credits the block at the index to its expected holders.
    void creditHolders(Scratch &scratch, const PrefixCacheEntry &entry, std::size_t block,
                       const CandidateSet &candidates) const;
    /// Preferred upstreams that a prefix with this many own requests a second should have.
    std::size_t preferredUpstreamCount(double rate) const;
    /// The chance that a block last used then is still cached.
    static double cachedProbability(IndexTime lastUse, IndexTime now);
    /// Fills in every term but the cached tokens, which must stand.
    void computeCost(CostTerms &terms, const PlacementRequest &request,
                     const CandidateSet &candidates, IndexTime now) const;
    /// Time until the upstream gets to a request sent now: its last report, what was sent since,
    /// less what it has worked off at the rate (tokens a second).
    Seconds queueWait(const UpstreamState &state, double rate, IndexTime now) const;
    /// Adjusts how many times longer than reckoned the upstream takes.
    void updateSlowness(const Decision &decision, UpstreamState &state, IndexTime now);
    /// The present factor for an upstream that answers late.
    static double slowness(const UpstreamState &state, IndexTime now);
    /// Time without progress on own requests, beyond a grace.
    static Seconds stall(const UpstreamState &state, IndexTime now);
    /// Writes the weighed candidates, the chosen first.
    void explain(Explanation &explanation, const Scratch &scratch, UpstreamSlot chosen) const;

    const Core::Clock &m_clock;
    const Core::Clock::Monotonic m_start;
    const PlacementSettings m_settings;
    UpstreamTable m_upstreams;
    PrefixCacheIndex m_prefixIndex;
    std::atomic<std::size_t> m_instances {1};
    /// Upstream time that a request takes, for the width of a prefix.
    std::atomic<float> m_prefillPerRequest {0.1F};
    std::atomic<float> m_secondsPerRequest {2};
    /// How many times longer than reckoned first tokens take over all upstreams.
    std::atomic<float> m_averageLateness {1};
};

} // namespace Placement
