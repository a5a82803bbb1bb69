#include <LibAccounting/Settlement.h>

#include <algorithm>
#include <numeric>

namespace Accounting {

namespace {

/// The part of one owner's capacity that is still unused.
struct OwnedCapacity
{
    Core::TeamId owner;
    SlotMicroseconds remaining = 0;
};

std::vector<OwnedCapacity> divideByOwner(SlotMicroseconds capacity,
                                         std::span<const OwnedShare> shares)
{
    std::vector<std::uint64_t> weights;
    std::uint64_t owned = 0;
    for (const auto &share : shares) {
        weights.push_back(share.millionths);
        owned += share.millionths;
    }
    weights.push_back(owned < FullShare ? FullShare - owned : 0);
    const auto parts = apportion(capacity, weights);
    std::vector<OwnedCapacity> owners;
    for (std::size_t n = 0; n < shares.size(); ++n)
        owners.push_back({shares[n].team, parts[n]});
    owners.push_back({Core::TeamId(), parts.back()});
    return owners;
}

/// Charges the amount to the owners' remaining capacity, in proportion to each remainder.
void lend(std::vector<OwnedCapacity> &owners, const Core::TeamId &user, SlotMicroseconds amount,
          Settlement &settlement)
{
    std::vector<std::uint64_t> remaining;
    remaining.reserve(owners.size());
    for (const auto &it : owners)
        remaining.push_back(it.remaining);
    const auto parts = apportion(amount, remaining);
    for (std::size_t n = 0; n < owners.size(); ++n) {
        if (parts[n] == 0)
            continue;
        owners[n].remaining -= parts[n];
        settlement.served.push_back({owners[n].owner, user, parts[n]});
    }
}

} // namespace

std::vector<std::uint64_t> apportion(std::uint64_t amount, std::span<const std::uint64_t> weights)
{
    // The product of two 64-bit numbers needs up to 128 bits.
    __extension__ using Wide = unsigned __int128;
    std::vector<std::uint64_t> parts(weights.size(), 0);
    const Wide total = std::accumulate(weights.begin(), weights.end(), Wide(0));
    if (total == 0)
        return parts;
    Wide weightSoFar = 0;
    std::uint64_t assignedSoFar = 0;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        weightSoFar += weights[n];
        const auto assignedUpToHere = static_cast<std::uint64_t>(amount * weightSoFar / total);
        parts[n] = assignedUpToHere - assignedSoFar;
        assignedSoFar = assignedUpToHere;
    }
    return parts;
}

Settlement settle(SlotMicroseconds capacity, std::span<const OwnedShare> shares,
                  std::span<const TeamUse> uses)
{
    Settlement settlement;
    auto owners = divideByOwner(capacity, shares);
    std::vector<SlotMicroseconds> excess(uses.size(), 0);
    for (std::size_t n = 0; n < uses.size(); ++n) {
        excess[n] = uses[n].slots;
        const auto own = std::find_if(owners.begin(), owners.end(),
                                      [&](const auto &it) { return it.owner == uses[n].team; });
        if (own == owners.end() || uses[n].team.isEmpty())
            continue;
        const auto used = std::min(own->remaining, uses[n].slots);
        if (used == 0)
            continue;
        own->remaining -= used;
        excess[n] -= used;
        settlement.served.push_back({own->owner, uses[n].team, used});
    }
    const auto totalExcess = std::accumulate(excess.begin(), excess.end(), SlotMicroseconds(0));
    SlotMicroseconds remaining = 0;
    for (const auto &it : owners)
        remaining += it.remaining;
    const auto lent = apportion(std::min(totalExcess, remaining), excess);
    for (std::size_t n = 0; n < uses.size(); ++n)
        lend(owners, uses[n].team, lent[n], settlement);
    settlement.overrun = totalExcess - std::min(totalExcess, remaining);
    for (const auto &it : owners) {
        if (it.remaining > 0)
            settlement.idle.push_back({it.owner, it.remaining});
    }
    return settlement;
}

} // namespace Accounting
