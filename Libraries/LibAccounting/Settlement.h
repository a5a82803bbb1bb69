#pragma once

#include <LibAccounting/UsageRecord.h>

#include <span>
#include <vector>

namespace Accounting {

/// A share of 100 percent. Shares are expressed in millionths of a group's capacity.
constexpr std::uint64_t FullShare = 1'000'000;

/// The share of a group's capacity that one team owns, in millionths.
struct OwnedShare
{
    Core::TeamId team;
    std::uint64_t millionths = 0;
};

/// Capacity of one owner that one team used. The owner is empty for capacity that no contract
/// assigns to a team.
struct ServedRow
{
    Core::TeamId owner;
    Core::TeamId user;
    SlotMicroseconds slots = 0;
};

/// Capacity of one owner that no team used.
struct IdleRow
{
    Core::TeamId owner;
    SlotMicroseconds slots = 0;
};

/// Which team used which owner's capacity in one interval. The served rows plus the idle rows equal
/// the capacity exactly, and the served rows plus the overrun equal the total use exactly.
struct Settlement
{
    std::vector<ServedRow> served;
    std::vector<IdleRow> idle;
    /// Use in excess of the capacity: requests that were still running after the instance returned
    /// their slots.
    SlotMicroseconds overrun = 0;
};

/// Divides an amount in proportion to the weights into integers whose sum equals the amount
/// exactly. If all weights are zero, all parts are zero.
std::vector<std::uint64_t> apportion(std::uint64_t amount, std::span<const std::uint64_t> weights);

/// Settles one interval. A team's use is charged to its own capacity first. The excess is charged
/// to the capacity that the owners left unused, in proportion to each owner's remainder.
Settlement settle(SlotMicroseconds capacity, std::span<const OwnedShare> shares,
                  std::span<const TeamUse> uses);

} // namespace Accounting
