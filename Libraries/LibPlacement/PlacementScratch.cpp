#include <LibPlacement/PlacementScratch.h>

#include <algorithm>

namespace Placement {

void Placement::Scratch::begin(IndexTime time)
{
    count = 0;
    preferredUpstreamCount = 0;
    now = time;
    if (++stamp == 0) {
        stamps.fill(0);
        stamp = 1;
    }
}

EvaluatedCandidate *Placement::Scratch::add(UpstreamSlot slot)
{
    if (stamps[slot] == stamp)
        return &candidates[index[slot]];
    if (count == candidates.size())
        return nullptr;
    stamps[slot] = stamp;
    index[slot] = static_cast<std::uint16_t>(count);
    candidates[count] = {};
    candidates[count].terms.slot = slot;
    return &candidates[count++];
}

void Placement::Scratch::credit(UpstreamSlot slot, std::size_t block, double probability)
{
    auto *entry = add(slot);
    if (entry == nullptr || entry->blocks != block)
        return;
    entry->probability = std::min(entry->probability, probability);
    entry->cachedTokens += entry->probability * static_cast<double>(BlockTokens);
    ++entry->blocks;
}

void Placement::Scratch::creditPreferredUpstream(UpstreamSlot slot, std::size_t block,
                                                 double probability)
{
    auto *entry = add(slot);
    if (entry == nullptr)
        return;
    entry->terms.isPreferred = true;
    while (entry->blocks <= block)
        credit(slot, entry->blocks, probability);
}

bool Placement::Scratch::isPreferred(std::size_t position) const
{
    const auto end =
        preferredUpstreams.begin() + static_cast<std::ptrdiff_t>(preferredUpstreamCount);
    return std::find(preferredUpstreams.begin(), end, position) != end;
}

} // namespace Placement
