#include <LibAccounting/Settlement.h>

#include <algorithm>
#include <numeric>

namespace Accounting {

namespace {

/// One owner's part of a capacity, and how much of it is still free.
struct OwnedCapacity
{
    Core::TeamId owner;
    SlotMicroseconds left = 0;
};

std::vector<OwnedCapacity> divide(SlotMicroseconds capacity, std::span<const OwnedShare> shares)
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

/// Takes the amount from what the owners have left, in proportion.
void lend(std::vector<OwnedCapacity> &owners, const Core::TeamId &user, SlotMicroseconds amount,
          Settlement &settlement)
{
    std::vector<std::uint64_t> left;
    left.reserve(owners.size());
    for (const auto &it : owners)
        left.push_back(it.left);
    const auto parts = apportion(amount, left);
    for (std::size_t n = 0; n < owners.size(); ++n) {
        if (parts[n] == 0)
            continue;
        owners[n].left -= parts[n];
        settlement.served.push_back({owners[n].owner, user, parts[n]});
    }
}

} // namespace

std::vector<std::uint64_t> apportion(std::uint64_t amount, std::span<const std::uint64_t> weights)
{
    // The product of two 64-bit amounts needs more than 64 bits.
    __extension__ using Wide = unsigned __int128;
    std::vector<std::uint64_t> parts(weights.size(), 0);
    const Wide total = std::accumulate(weights.begin(), weights.end(), Wide(0));
    if (total == 0)
        return parts;
    Wide weightSoFar = 0;
    std::uint64_t givenSoFar = 0;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        weightSoFar += weights[n];
        const auto upTo = static_cast<std::uint64_t>(amount * weightSoFar / total);
        parts[n] = upTo - givenSoFar;
        givenSoFar = upTo;
    }
    return parts;
}

Settlement settle(SlotMicroseconds capacity, std::span<const OwnedShare> shares,
                  std::span<const TeamUse> uses)
{
    Settlement settlement;
    auto owners = divide(capacity, shares);
    std::vector<SlotMicroseconds> beyond(uses.size(), 0);
    for (std::size_t n = 0; n < uses.size(); ++n) {
        beyond[n] = uses[n].slots;
        const auto own = std::find_if(owners.begin(), owners.end(),
                                      [&](const auto &it) { return it.owner == uses[n].team; });
        if (own == owners.end() || uses[n].team.isEmpty())
            continue;
        const auto used = std::min(own->left, uses[n].slots);
        if (used == 0)
            continue;
        own->left -= used;
        beyond[n] -= used;
        settlement.served.push_back({own->owner, uses[n].team, used});
    }
    const auto wanted = std::accumulate(beyond.begin(), beyond.end(), SlotMicroseconds(0));
    SlotMicroseconds left = 0;
    for (const auto &it : owners)
        left += it.left;
    const auto granted = apportion(std::min(wanted, left), beyond);
    for (std::size_t n = 0; n < uses.size(); ++n)
        lend(owners, uses[n].team, granted[n], settlement);
    settlement.overrun = wanted - std::min(wanted, left);
    for (const auto &it : owners) {
        if (it.left > 0)
            settlement.idle.push_back({it.owner, it.left});
    }
    return settlement;
}

} // namespace Accounting
