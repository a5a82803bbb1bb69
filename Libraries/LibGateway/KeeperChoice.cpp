#include <LibCore/Hash.h>
#include <LibGateway/KeeperChoice.h>
#include <LibGateway/UpstreamFleet.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

// Only the members with the fastest links are keepers, if there are many.
constexpr std::size_t MinKeepers = 4;
constexpr std::size_t KeeperDivisor = 2;

} // namespace

FleetMember chooseKeeper(const FleetMembers &members, const UpstreamReport &upstream,
                         const std::function<bool(const Core::InstanceId &)> &isSkipped)
{
    const auto &dataCentre = upstream.dataCentre;
    // Datagrams of other data centres do not arrive in a large fleet, so whether their members are
    // reachable shows only when they do not answer.
    const bool isUnseen = members.isLarge() && dataCentre != members.self().dataCentre;
    std::vector<const FleetMember *> candidates;
    const auto collect = [&](bool isAnyDataCentre) {
        const auto &self = members.self();
        if (isAnyDataCentre || self.dataCentre == dataCentre)
            candidates.push_back(&self);
        for (const auto &[instance, sibling] : members.siblings()) {
            if ((isAnyDataCentre || sibling.member.dataCentre == dataCentre)
                && (isUnseen || members.isReachable(sibling)) && !isSkipped(instance))
                candidates.push_back(&sibling.member);
        }
    };
    collect(false);
    if (candidates.empty())
        collect(true);
    std::sort(candidates.begin(), candidates.end(), [](const auto *left, const auto *right) {
        return std::pair(right->linkMegabits, left->instance)
               < std::pair(left->linkMegabits, right->instance);
    });
    candidates.resize(
        std::min(candidates.size(), std::max(MinKeepers, candidates.size() / KeeperDivisor)));
    const auto key = UpstreamFleet::hashOf(upstream.id);
    return **std::max_element(candidates.begin(), candidates.end(),
                              [key](const auto *left, const auto *right) {
                                  return Core::hash64(left->instance.value(), key)
                                         < Core::hash64(right->instance.value(), key);
                              });
}

} // namespace Gateway
