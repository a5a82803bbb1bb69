#pragma once

#include <LibAdmission/Policy.h>

#include <optional>
#include <span>
#include <vector>

namespace Admission {

/// One claimant on a divisible capacity.
struct Claimant
{
    double demand = 0;
    double weight = 1;
};

/// Weighted max-min shares: no claimant gets more than its demand, and what one leaves is divided
/// among the others by weight. The result has one share a claimant, of which the sum never exceeds
/// the capacity.
std::vector<double> weightedMaxMin(double capacity, std::span<const Claimant> claimants);

/// Slots that one team asks for in one class at one instance: running and waiting requests.
struct TeamDemand
{
    Core::TeamId team;
    Core::PriorityClassId priorityClass;
    double slots = 0;
};

/// How a group's slots should be divided among instances.
struct FairTargets
{
    /// Slots each instance should hold.
    std::vector<double> slots;
    /// Of the slots that each team should get, the part at the first instance, by team position;
    /// empty for a team without demand.
    std::vector<std::optional<double>> firstInstanceFraction;
};

/// Divides a group's slots for the demand that all instances see, by the rules that admit requests:
/// class floors first, then each team's own capacity with urgent classes first, then lent capacity
/// by class and weight. Capacity that nobody asks for is spread evenly.
FairTargets fairTargets(const GroupPolicy &policy,
                        std::span<const std::vector<TeamDemand>> demandByInstance);

} // namespace Admission
