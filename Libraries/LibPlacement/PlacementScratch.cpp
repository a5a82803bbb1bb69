#include <LibPlacement/PlacementScratch.h>

#include <algorithm>

namespace Placement {

void Placement::Scratch::begin(BeliefTime time)
{
    count = 0;
    homeCount = 0;
    now = time;
    if (++stamp == 0) {
        stamps.fill(0);
        stamp = 1;
    }
}

Weighed *Placement::Scratch::add(UpstreamSlot slot)
{
    if (stamps[slot] == stamp)
        return &weighed[index[slot]];
    if (count == weighed.size())
        return nullptr;
    stamps[slot] = stamp;
    index[slot] = static_cast<std::uint16_t>(count);
    weighed[count] = {};
    weighed[count].terms.slot = slot;
    return &weighed[count++];
}

void Placement::Scratch::credit(UpstreamSlot slot, std::size_t piece, double chance)
{
    auto *entry = add(slot);
    if (entry == nullptr || entry->pieces != piece)
        return;
    entry->chance = std::min(entry->chance, chance);
    entry->cachedTokens += entry->chance * static_cast<double>(PieceTokens);
    ++entry->pieces;
}

void Placement::Scratch::creditHome(UpstreamSlot slot, std::size_t piece, double chance)
{
    auto *entry = add(slot);
    if (entry == nullptr)
        return;
    entry->terms.isHome = true;
    while (entry->pieces <= piece)
        credit(slot, entry->pieces, chance);
}

bool Placement::Scratch::isHome(std::size_t position) const
{
    const auto end = homes.begin() + static_cast<std::ptrdiff_t>(homeCount);
    return std::find(homes.begin(), end, position) != end;
}

} // namespace Placement
