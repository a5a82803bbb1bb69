#pragma once

#include <LibPlacement/Placement.h>

namespace Placement {

/// Candidates weighed in one decision.
constexpr std::size_t MaxEvaluatedCandidates = 192;

/// A candidate and how far its cached chain is known.
struct EvaluatedCandidate
{
    CostTerms terms;
    /// Blocks credited so far; a chain ends at the first block not expected to be cached.
    std::size_t blocks = 0;
    /// Chance that the last credited block is cached.
    double chance = 1;
    double cachedTokens = 0;
};

/// Working memory of one decision, kept for each thread so that a decision takes no heap memory.
struct Placement::Scratch
{
    std::array<EvaluatedCandidate, MaxEvaluatedCandidates> candidates;
    std::size_t count = 0;
    /// Index into weighed plus one, valid where the stamp is the present one.
    std::array<std::uint16_t, MaxUpstreams> index {};
    std::array<std::uint32_t, MaxUpstreams> stamps {};
    std::uint32_t stamp = 0;
    std::array<std::uint16_t, MaxPreferredUpstreams> preferredUpstreams {};
    std::size_t preferredUpstreamCount = 0;
    IndexTime now {0};

    /// Starts a decision.
    void begin(IndexTime time);
    /// The entry of the upstream, added if there is room; null if not.
    EvaluatedCandidate *add(UpstreamSlot slot);
    /// Credits the block at the index to the upstream if its chain reaches up to it.
    void credit(UpstreamSlot slot, std::size_t block, double chance);
    /// Credits every block up to the index to a preferred upstream of the block.
    void creditPreferredUpstream(UpstreamSlot slot, std::size_t block, double chance);
    /// Whether the position is among the present preferred upstreams.
    bool isPreferred(std::size_t position) const;
};

} // namespace Placement
