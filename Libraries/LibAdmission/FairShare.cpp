#include <LibAdmission/FairShare.h>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <unordered_map>

namespace Admission {

namespace {

/// The demand and the allocation of a group by class and team, summed over all instances. Each
/// combination of a class and a team is one cell.
class Allocation
{
public:
    Allocation(const GroupPolicy &policy, std::span<const std::vector<TeamDemand>> demandByInstance)
        : m_policy(policy)
        , m_demand(policy.classes.size() * policy.teams.size(), 0)
        , m_allocated(m_demand.size(), 0)
        , m_remaining(policy.slots)
    {
        for (std::size_t n = 0; n < policy.teams.size(); ++n)
            m_teams[policy.teams[n].id] = n;
        for (const auto &demands : demandByInstance) {
            for (const auto &demand : demands) {
                if (const auto cell = cellOf(demand); cell < m_demand.size())
                    m_demand[cell] += demand.slots;
            }
        }
    }

    /// Returns the cell of the demand's class and team, or cellCount() if the policy does not have
    /// them.
    std::size_t cellOf(const TeamDemand &demand) const
    {
        const auto team = m_teams.find(demand.team);
        if (team == m_teams.end())
            return m_demand.size();
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n) {
            if (m_policy.classes[n].id == demand.priorityClass)
                return n * m_policy.teams.size() + team->second;
        }
        return m_demand.size();
    }

    void allocateFloors()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            allocate(n, std::min(m_remaining, m_policy.classes[n].floorShare * m_policy.slots),
                     true);
    }

    void allocateOwned()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            allocate(n, m_remaining, false);
    }

    void allocateBorrowed()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            allocate(n, m_remaining, true);
    }

    /// Returns the number of slots allocated to a cell.
    double allocated(std::size_t cell) const { return m_allocated[cell]; }
    std::size_t cellCount() const { return m_allocated.size(); }

    double remaining() const { return m_remaining; }

private:
    void allocate(std::size_t classIndex, double capacity, bool beyondOwned)
    {
        const auto teams = m_policy.teams.size();
        std::vector<Claimant> claimants(teams);
        for (std::size_t n = 0; n < teams; ++n) {
            const auto cell = classIndex * teams + n;
            const double unmetDemand = m_demand[cell] - m_allocated[cell];
            const bool isCapped = !beyondOwned || !m_policy.teams[n].mayBorrow;
            const double remainingOwnedSlots = std::max(0.0, remainingOwned(n));
            claimants[n] = {isCapped ? std::min(unmetDemand, remainingOwnedSlots) : unmetDemand,
                            m_policy.teams[n].weight};
        }
        const auto shares = weightedMaxMin(capacity, claimants);
        for (std::size_t n = 0; n < teams; ++n) {
            m_allocated[classIndex * teams + n] += shares[n];
            m_remaining -= shares[n];
        }
        m_remaining = std::max(0.0, m_remaining);
    }

    double remainingOwned(std::size_t team) const
    {
        double used = 0;
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            used += m_allocated[n * m_policy.teams.size() + team];
        return m_policy.teams[team].ownedShare * m_policy.slots - used;
    }

    const GroupPolicy &m_policy;
    std::unordered_map<Core::TeamId, std::size_t> m_teams;
    std::vector<double> m_demand;
    std::vector<double> m_allocated;
    double m_remaining;
};

} // namespace

std::vector<double> weightedMaxMin(double capacity, std::span<const Claimant> claimants)
{
    std::vector<double> shares(claimants.size(), 0);
    std::vector<std::size_t> order(claimants.size());
    std::iota(order.begin(), order.end(), 0);
    const auto saturation = [&](std::size_t n) {
        return claimants[n].weight > 0 ? claimants[n].demand / claimants[n].weight : 0;
    };
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return saturation(a) < saturation(b); });
    double remainingWeight = 0;
    for (const auto &it : claimants)
        remainingWeight += std::max(0.0, it.weight);
    for (const auto n : order) {
        const double weight = std::max(0.0, claimants[n].weight);
        if (weight <= 0)
            continue;
        shares[n] = std::min(claimants[n].demand, capacity * weight / remainingWeight);
        capacity = std::max(0.0, capacity - shares[n]);
        remainingWeight -= weight;
    }
    return shares;
}

FairTargets fairTargets(const GroupPolicy &policy,
                        std::span<const std::vector<TeamDemand>> demandByInstance)
{
    Allocation allocation(policy, demandByInstance);
    allocation.allocateFloors();
    allocation.allocateOwned();
    allocation.allocateBorrowed();
    const auto instances = demandByInstance.size();
    const auto teams = policy.teams.size();
    // The demand of each instance in each cell.
    std::vector<std::vector<Claimant>> claimantsByCell(allocation.cellCount(),
                                                       std::vector<Claimant>(instances));
    for (std::size_t n = 0; n < instances; ++n) {
        for (const auto &demand : demandByInstance[n]) {
            if (const auto cell = allocation.cellOf(demand); cell < claimantsByCell.size())
                claimantsByCell[cell][n].demand += demand.slots;
        }
    }
    const double evenSlots = allocation.remaining() / static_cast<double>(instances);
    FairTargets targets {std::vector<double>(instances, evenSlots),
                         std::vector<std::optional<double>>(teams)};
    std::vector<double> firstInstanceSlots(teams, 0);
    std::vector<double> totalSlots(teams, 0);
    for (std::size_t cell = 0; cell < claimantsByCell.size(); ++cell) {
        // All instances have the same weight. If slots were divided in proportion to demand, an
        // instance with more slots would run more requests, report a higher demand and so attract
        // even more slots.
        const auto instanceSlots =
            weightedMaxMin(allocation.allocated(cell), claimantsByCell[cell]);
        for (std::size_t n = 0; n < instances; ++n)
            targets.slots[n] += instanceSlots[n];
        firstInstanceSlots[cell % teams] += instanceSlots[0];
        totalSlots[cell % teams] += allocation.allocated(cell);
    }
    for (std::size_t team = 0; team < teams; ++team) {
        if (totalSlots[team] > 0)
            targets.firstInstanceFraction[team] = firstInstanceSlots[team] / totalSlots[team];
    }
    return targets;
}

} // namespace Admission
