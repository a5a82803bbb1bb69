#include <LibAdmission/FairShare.h>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <unordered_map>

namespace Admission {

namespace {

/// Demand and allocation of every class and team of a group, summed over the instances.
class Allocation
{
public:
    Allocation(const GroupPolicy &policy, std::span<const std::vector<TeamDemand>> demandByInstance)
        : m_policy(policy)
        , m_demand(policy.classes.size() * policy.teams.size(), 0)
        , m_given(m_demand.size(), 0)
        , m_left(policy.slots)
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

    /// The position of a demand's class and team; past the end when the policy has no such pair.
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

    void giveFloors()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            give(n, std::min(m_left, m_policy.classes[n].floorShare * m_policy.slots), true);
    }

    void giveOwned()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            give(n, m_left, false);
    }

    void giveBorrowed()
    {
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            give(n, m_left, true);
    }

    /// Slots given at one position.
    double given(std::size_t cell) const { return m_given[cell]; }
    std::size_t cells() const { return m_given.size(); }

    double left() const { return m_left; }

private:
    void give(std::size_t classIndex, double capacity, bool beyondOwned)
    {
        const auto teams = m_policy.teams.size();
        std::vector<Claimant> claimants(teams);
        for (std::size_t n = 0; n < teams; ++n) {
            const auto cell = classIndex * teams + n;
            const double open = m_demand[cell] - m_given[cell];
            const bool capped = !beyondOwned || !m_policy.teams[n].mayBorrow;
            const double room = std::max(0.0, ownedLeft(n));
            claimants[n] = {capped ? std::min(open, room) : open, m_policy.teams[n].weight};
        }
        const auto shares = weightedMaxMin(capacity, claimants);
        for (std::size_t n = 0; n < teams; ++n) {
            m_given[classIndex * teams + n] += shares[n];
            m_left -= shares[n];
        }
        m_left = std::max(0.0, m_left);
    }

    double ownedLeft(std::size_t team) const
    {
        double used = 0;
        for (std::size_t n = 0; n < m_policy.classes.size(); ++n)
            used += m_given[n * m_policy.teams.size() + team];
        return m_policy.teams[team].ownedShare * m_policy.slots - used;
    }

    const GroupPolicy &m_policy;
    std::unordered_map<Core::TeamId, std::size_t> m_teams;
    std::vector<double> m_demand;
    std::vector<double> m_given;
    double m_left;
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
    double weights = 0;
    for (const auto &it : claimants)
        weights += std::max(0.0, it.weight);
    for (const auto n : order) {
        const double weight = std::max(0.0, claimants[n].weight);
        if (weight <= 0)
            continue;
        shares[n] = std::min(claimants[n].demand, capacity * weight / weights);
        capacity = std::max(0.0, capacity - shares[n]);
        weights -= weight;
    }
    return shares;
}

FairTargets fairTargets(const GroupPolicy &policy,
                        std::span<const std::vector<TeamDemand>> demandByInstance)
{
    Allocation allocation(policy, demandByInstance);
    allocation.giveFloors();
    allocation.giveOwned();
    allocation.giveBorrowed();
    const auto instances = demandByInstance.size();
    const auto teams = policy.teams.size();
    // What each instance asks for of each class and team.
    std::vector<std::vector<Claimant>> claims(allocation.cells(), std::vector<Claimant>(instances));
    for (std::size_t n = 0; n < instances; ++n) {
        for (const auto &demand : demandByInstance[n]) {
            if (const auto cell = allocation.cellOf(demand); cell < claims.size())
                claims[cell][n].demand += demand.slots;
        }
    }
    const double even = allocation.left() / static_cast<double>(instances);
    FairTargets targets {std::vector<double>(instances, even),
                         std::vector<std::optional<double>>(teams)};
    std::vector<double> first(teams, 0);
    std::vector<double> all(teams, 0);
    for (std::size_t cell = 0; cell < claims.size(); ++cell) {
        // Equal weights: in proportion to the demand, an instance that holds more slots would run
        // more, ask for more and draw ever more of them.
        const auto parts = weightedMaxMin(allocation.given(cell), claims[cell]);
        for (std::size_t n = 0; n < instances; ++n)
            targets.slots[n] += parts[n];
        first[cell % teams] += parts[0];
        all[cell % teams] += allocation.given(cell);
    }
    for (std::size_t team = 0; team < teams; ++team) {
        if (all[team] > 0)
            targets.firstInstancePart[team] = first[team] / all[team];
    }
    return targets;
}

} // namespace Admission
