#include <LibRouter/PolicyBuilder.h>

namespace Router {

namespace {

Admission::ClassPolicy classPolicy(const Configuration::PriorityClass &source)
{
    Admission::ClassPolicy policy;
    policy.id = source.id;
    policy.floorShare = source.floorShare.value();
    policy.queueLimit = source.queueRequests;
    return policy;
}

Admission::TeamPolicy teamPolicy(const Configuration::Contract &contract,
                                 const Configuration::Team &team)
{
    Admission::TeamPolicy policy;
    policy.id = contract.team;
    policy.weight = team.entitlementWeight;
    policy.ownedShare = contract.ownedShare.value();
    policy.mayBorrow = contract.mayBorrow;
    return policy;
}

} // namespace

std::uint32_t countSlots(const Configuration::UpstreamGroup &group,
                         const UpstreamDirectory &directory)
{
    std::uint32_t live = 0;
    for (const auto &upstream : directory.group(group.id).upstreams)
        live += upstream->isLeaving() ? 0 : 1;
    return live * group.slotsPerWorker;
}

Admission::Policy buildAdmissionPolicy(const Configuration::Document &document,
                                       const UpstreamDirectory &directory)
{
    Admission::Policy policy;
    for (const auto &group : document.upstreamGroups()) {
        Admission::GroupPolicy rules;
        rules.id = group.id;
        rules.slots = countSlots(group, directory);
        for (const auto &priorityClass : document.priorityClasses())
            rules.classes.push_back(classPolicy(priorityClass));
        for (const auto &contract : document.contracts()) {
            const auto *team = document.team(contract.team.value());
            if (contract.upstreamGroup == group.id && team)
                rules.teams.push_back(teamPolicy(contract, *team));
        }
        policy.groups.push_back(std::move(rules));
    }
    for (const auto &team : document.teams())
        policy.limits.push_back({team.id, team.requestsPerSecond, team.concurrentRequests});
    return policy;
}

} // namespace Router
