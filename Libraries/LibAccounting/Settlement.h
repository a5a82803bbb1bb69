#pragma once

#include <LibAccounting/UsageRecord.h>

#include <span>
#include <vector>

namespace Accounting {

/// Parts of a capacity are counted in millionths.
constexpr std::uint64_t FullShare = 1'000'000;

/// What one team owns of a group, in millionths.
struct OwnedShare
{
    Core::TeamId team;
    std::uint64_t millionths = 0;
};

/// Capacity of one owner that one team used. The owner is empty for capacity that no contract
/// gives to a team.
struct ServedRow
{
    Core::TeamId owner;
    Core::TeamId user;
    SlotMicroseconds slots = 0;
};

/// Capacity of one owner that nobody used.
struct IdleRow
{
    Core::TeamId owner;
    SlotMicroseconds slots = 0;
};

/// Who used whose capacity in one stretch of time. The served rows and the idle rows together add
/// up to the capacity exactly; the served rows and the overrun add up to the use exactly.
struct Settlement
{
    std::vector<ServedRow> served;
    std::vector<IdleRow> idle;
    /// Use beyond the capacity: work that went on after its slots were given back.
    SlotMicroseconds overrun = 0;
};

/// Divides an amount in proportion to the weights, in whole units that add up to it exactly. All
/// zero weights give all zero parts.
std::vector<std::uint64_t> apportion(std::uint64_t amount, std::span<const std::uint64_t> weights);

/// Settles one stretch: a team's use falls first on its own capacity; the rest on what the owners
/// left, in proportion to what each left.
Settlement settle(SlotMicroseconds capacity, std::span<const OwnedShare> shares,
                  std::span<const TeamUse> uses);

} // namespace Accounting
