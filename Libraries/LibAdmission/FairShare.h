#pragma once

#include <LibAdmission/Policy.h>

#include <optional>
#include <span>
#include <vector>

namespace Admission {

/// One party that competes for a divisible capacity.
struct Claimant
{
    double demand = 0;
    double weight = 1;
};

/// Computes weighted max-min fair shares. No claimant gets more than its demand, and what it leaves
/// unused is divided among the others by weight. Returns one share per claimant; the sum of the
/// shares does not exceed the capacity.
std::vector<double> weightedMaxMin(double capacity, std::span<const Claimant> claimants);

/// The demand of one team in one class at one instance, in slots: the number of its running and
/// waiting requests.
struct TeamDemand
{
    Core::TeamId team;
    Core::PriorityClassId priorityClass;
    double slots = 0;
};

/// The fair division of a group's slots among instances.
struct FairTargets
{
    /// The number of slots for each instance.
    std::vector<double> slots;
    /// The fraction of each team's slots that is at the first instance, by team index; empty for a
    /// team without demand.
    std::vector<std::optional<double>> firstInstanceFraction;
};

/// Divides a group's slots among instances according to the demand at each of them. The order is
/// the same as for admitting requests: class floors first, then each team's own capacity with the
/// most urgent class first, then lent capacity by class and weight. Capacity without demand is
/// divided evenly among the instances.
FairTargets fairTargets(const GroupPolicy &policy,
                        std::span<const std::vector<TeamDemand>> demandByInstance);

} // namespace Admission
