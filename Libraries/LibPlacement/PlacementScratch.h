#pragma once

#include <LibPlacement/Placement.h>

namespace Placement {

/// The maximum number of candidates evaluated in one decision.
constexpr std::size_t MaxEvaluatedCandidates = 192;

/// A candidate and the estimate of how much of the prompt it has cached.
struct EvaluatedCandidate
{
    CostTerms terms;
    /// Number of blocks credited so far. Only a contiguous prefix of the prompt is credited: it
    /// ends at the first block that is not expected to be cached.
    std::size_t blocks = 0;
    /// Probability that the last credited block is cached.
    double probability = 1;
    double cachedTokens = 0;
};

/// Working memory of one decision, kept per thread so that decisions do not allocate heap memory.
struct Placement::Scratch
{
    std::array<EvaluatedCandidate, MaxEvaluatedCandidates> candidates;
    std::size_t count = 0;
    /// Index into candidates by upstream slot, valid if stamps[slot] equals stamp.
    std::array<std::uint16_t, MaxUpstreams> index {};
    std::array<std::uint32_t, MaxUpstreams> stamps {};
    std::uint32_t stamp = 0;
    std::array<std::uint16_t, MaxPreferredUpstreams> preferredUpstreams {};
    std::size_t preferredUpstreamCount = 0;
    IndexTime now {0};

    /// Resets the working memory for a new decision.
    void begin(IndexTime time);
    /// Returns the candidate for the upstream, adding it if necessary, or null if there is no room.
    EvaluatedCandidate *add(UpstreamSlot slot);
    /// Credits the block with index `block` to the upstream if all blocks before it were credited.
    /// `probability` is the probability that the block is cached.
    void credit(UpstreamSlot slot, std::size_t block, double probability);
    /// Credits all blocks up to index `block` to an upstream that is preferred for that block.
    void creditPreferredUpstream(UpstreamSlot slot, std::size_t block, double probability);
    /// Whether the position is one of the current preferred upstreams.
    bool isPreferred(std::size_t position) const;
};

} // namespace Placement
