#include <LibAdmission/GroupAdmission.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// The maximum number of demands in a report on one group; the largest ones are reported.
constexpr std::size_t MaxReportedDemands = 64;
/// Factor by which a reported demand may fall from one tick to the next.
constexpr double DemandDecay = 0.7;
/// The fraction of a team's own capacity that is divided evenly among the instances regardless of
/// where its demand is, so that a burst at another instance finds some capacity.
constexpr double EvenLocalityFraction = 0.25;
/// The largest fraction of the share that is kept free of borrowed work, for teams below their own
/// capacity.
constexpr double MaxOwnerReserve = 0.1;
/// The largest fraction of the share that is kept free for more urgent classes.
constexpr double MaxClassReserve = 0.05;
/// A decaying demand below this number of slots is dropped.
constexpr double MinDemand = 0.5;
/// A sibling's demand is discarded when no report has been received from it for this long.
constexpr std::chrono::milliseconds SiblingTimeout = LeaseDuration;

} // namespace

GroupAdmission::GroupAdmission(std::uint32_t groupIndex, const GroupPolicy &policy)
    : m_groupIndex(groupIndex)
    , m_policy(policy)
    , m_scheduler(std::make_unique<SlotScheduler>(policy))
{
    m_share.setSafeShare(policy.slots, 0, 1);
}

GroupActions GroupAdmission::configure(const GroupPolicy &policy, Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    m_policy = policy;
    replaceScheduler(actions);
    dispatch(actions, now);
    return actions;
}

GroupActions GroupAdmission::setSlots(std::uint32_t slots, Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    if (slots == m_policy.slots)
        return actions;
    m_policy.slots = slots;
    replaceScheduler(actions);
    dispatch(actions, now);
    return actions;
}

GroupActions GroupAdmission::setPosition(std::uint32_t index, std::uint32_t count,
                                         Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    m_siblingIndex = index;
    m_siblingCount = std::max<std::uint32_t>(count, 1);
    m_share.setSafeShare(m_policy.slots, m_siblingIndex, m_siblingCount);
    updatePlan(now);
    dispatch(actions, now);
    return actions;
}

GroupActions GroupAdmission::submit(std::uint64_t number, Ticket ticket, DecisionHook hook,
                                    Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    if (auto refusal = earlyRejection(ticket, now)) {
        refuse(actions, {number, std::move(ticket), std::move(hook), now}, std::move(*refusal));
        return actions;
    }
    m_scheduler->enqueue({number, std::move(ticket), std::move(hook), now});
    dispatch(actions, now);
    return actions;
}

GroupActions GroupAdmission::release(std::uint64_t number, std::uint64_t usedTokens,
                                     Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    auto team = m_scheduler->finish(number, usedTokens, now);
    if (!team)
        return actions;
    actions.endedRequestTeams.push_back(std::move(*team));
    dispatch(actions, now);
    return actions;
}

void GroupAdmission::noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    m_scheduler->noteFirstToken(number, now);
}

std::optional<Core::TeamId> GroupAdmission::withdraw(std::uint64_t number)
{
    std::scoped_lock lock(m_mutex);
    auto request = m_scheduler->withdraw(number);
    if (!request)
        return std::nullopt;
    return std::move(request->ticket.team);
}

GroupActions GroupAdmission::tick(Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    m_scheduler->decayDelays();
    updateOwnDemand();
    updatePlan(now);
    dispatch(actions, now);
    return actions;
}

GroupReport GroupAdmission::report(const Core::InstanceId &sibling, std::uint64_t answeredSequence,
                                   Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupReport report {.group = m_policy.id, .demands = m_ownDemand};
    const auto planned = m_lendingPlan.find(sibling);
    const auto amount = planned == m_lendingPlan.end() ? 0 : planned->second;
    report.slots.lease = m_share.lend(sibling, amount, answeredSequence, now);
    report.slots.acknowledged = m_share.acknowledge(sibling, m_scheduler->running(), now);
    return report;
}

GroupActions GroupAdmission::applyReport(const Core::InstanceId &sibling, const GroupReport &report,
                                         Core::Clock::Monotonic answeredReportSent,
                                         Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    GroupActions actions;
    m_siblings[sibling] = {report.demands, now};
    if (report.slots.lease)
        m_share.accept(sibling, *report.slots.lease, answeredReportSent);
    m_share.noteAcknowledged(sibling, report.slots.acknowledged);
    dispatch(actions, now);
    return actions;
}

void GroupAdmission::forgetSibling(const Core::InstanceId &sibling)
{
    std::scoped_lock lock(m_mutex);
    m_siblings.erase(sibling);
    m_share.forgetBorrowed(sibling);
}

GroupStatus GroupAdmission::status(Core::Clock::Monotonic now) const
{
    std::scoped_lock lock(m_mutex);
    return {.share = m_share.available(now),
            .safeShare = m_share.safeShare(),
            .running = m_scheduler->running(),
            .waiting = m_scheduler->waiting()};
}

std::optional<Core::Error> GroupAdmission::earlyRejection(const Ticket &ticket,
                                                          Core::Clock::Monotonic now) const
{
    const auto team = m_scheduler->teamIndex(ticket.team);
    const auto cls = m_scheduler->classIndex(ticket.priorityClass);
    if (!team || !cls)
        return Core::Error(Core::ErrorKind::Forbidden,
                           "the group has no contract for the team or the priority class");
    const auto &policy = m_policy.teams[*team];
    if (policy.ownedShare <= 0 && !policy.mayBorrow)
        return Core::Error(Core::ErrorKind::Forbidden,
                           "the team owns no slots of the group and may not borrow");
    if (!ticket.resumed && !m_scheduler->hasQueueRoom(*cls, *team))
        return Core::Error(Core::ErrorKind::Overloaded,
                           "the queue has no room for another request of the team");
    const auto ready = now + m_scheduler->expectedWait(*cls, *team)
                       + m_scheduler->expectedFirstToken(*cls, *team, ticket);
    if (ticket.deadline && ready > *ticket.deadline)
        return Core::Error(Core::ErrorKind::DeadlineUnreachable,
                           "the estimated wait and time to first token exceed the deadline");
    return std::nullopt;
}

void GroupAdmission::refuse(GroupActions &actions, WaitingRequest request, Core::Error error)
{
    actions.decisions.push_back({std::move(request.hook), std::move(error)});
    actions.endedRequestTeams.push_back(std::move(request.ticket.team));
}

void GroupAdmission::replaceScheduler(GroupActions &actions)
{
    auto next = std::make_unique<SlotScheduler>(m_policy);
    for (auto &request : m_scheduler->moveTo(*next)) {
        Core::Error refusal(Core::ErrorKind::Forbidden,
                            "the new configuration no longer has the team or the priority class");
        refuse(actions, std::move(request), std::move(refusal));
    }
    m_scheduler = std::move(next);
    m_share.setSafeShare(m_policy.slots, m_siblingIndex, m_siblingCount);
}

void GroupAdmission::dispatch(GroupActions &actions, Core::Clock::Monotonic now)
{
    while (auto unreachable = m_scheduler->takeUnreachable(now)) {
        Core::Error refusal(Core::ErrorKind::DeadlineUnreachable,
                            "the deadline can no longer be met");
        refuse(actions, std::move(*unreachable), std::move(refusal));
    }
    const auto share = m_share.available(now);
    while (auto scheduled = m_scheduler->next(share, now)) {
        auto &request = scheduled->request;
        const auto waited =
            std::chrono::duration_cast<std::chrono::microseconds>(now - request.arrived);
        Grant grant {
            {m_groupIndex, request.number}, waited, scheduled->borrowed, scheduled->enginePriority};
        actions.decisions.push_back({std::move(request.hook), grant});
    }
    while (const auto victim = m_scheduler->preemptionVictim(share))
        actions.preemptions.push_back({m_groupIndex, *victim});
}

void GroupAdmission::updateOwnDemand()
{
    std::vector<TeamDemand> demands;
    for (std::size_t cls = 0; cls < m_policy.classes.size(); ++cls) {
        for (std::size_t team = 0; team < m_policy.teams.size(); ++team) {
            const auto slots = static_cast<double>(m_scheduler->demand(cls, team));
            if (slots > 0)
                demands.push_back({m_policy.teams[team].id, m_policy.classes[cls].id, slots});
        }
    }
    for (const auto &old : m_ownDemand) {
        const double decayedSlots = old.slots * DemandDecay;
        const auto it = std::find_if(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.team == old.team && demand.priorityClass == old.priorityClass;
        });
        if (it != demands.end())
            it->slots = std::max(it->slots, decayedSlots);
        else if (decayedSlots >= MinDemand)
            demands.push_back({old.team, old.priorityClass, decayedSlots});
    }
    std::sort(demands.begin(), demands.end(),
              [](const auto &a, const auto &b) { return a.slots > b.slots; });
    if (demands.size() > MaxReportedDemands)
        demands.resize(MaxReportedDemands);
    m_ownDemand = std::move(demands);
}

void GroupAdmission::updatePlan(Core::Clock::Monotonic now)
{
    std::erase_if(m_siblings,
                  [now](const auto &it) { return now - it.second.receivedAt > SiblingTimeout; });
    std::vector<std::vector<TeamDemand>> demandByInstance {m_ownDemand};
    for (const auto &[sibling, demand] : m_siblings)
        demandByInstance.push_back(demand.demands);
    // Siblings without a recent report keep their safe shares, so only the shares of the other
    // instances are redistributed.
    auto policy = m_policy;
    const auto knownInstances = std::min<std::size_t>(demandByInstance.size(), m_siblingCount);
    policy.slots = static_cast<std::uint32_t>(policy.slots * knownInstances / m_siblingCount);
    const auto targets = fairTargets(policy, demandByInstance);
    const auto amounts = planLending(m_share.safeShare(), targets.slots, 0);
    m_lendingPlan.clear();
    std::size_t n = 0;
    for (const auto &[sibling, demand] : m_siblings)
        m_lendingPlan[sibling] = amounts[++n];
    updateLocality(targets, knownInstances);
    updateReserve(now);
}

void GroupAdmission::updateReserve(Core::Clock::Monotonic now)
{
    std::vector<double> demandByTeam(m_policy.teams.size(), 0);
    for (const auto &demand : m_ownDemand) {
        if (const auto team = m_scheduler->teamIndex(demand.team))
            demandByTeam[*team] += demand.slots;
    }
    double unusedOwnedDemand = 0;
    for (std::size_t team = 0; team < demandByTeam.size(); ++team)
        unusedOwnedDemand += m_scheduler->remainingOwnedSlots(team, demandByTeam[team]);
    const auto share = m_share.available(now);
    const double maxOwnerReserve = std::ceil(MaxOwnerReserve * share);
    m_scheduler->setReserve(
        static_cast<std::uint32_t>(std::min(unusedOwnedDemand, maxOwnerReserve)));
    const double maxClassReserve = std::ceil(MaxClassReserve * share);
    std::vector<std::uint32_t> classReserves;
    double moreUrgentDemand = 0;
    for (const auto &it : m_policy.classes) {
        classReserves.push_back(
            static_cast<std::uint32_t>(std::min(moreUrgentDemand, maxClassReserve)));
        for (const auto &demand : m_ownDemand)
            moreUrgentDemand += demand.priorityClass == it.id ? demand.slots : 0;
    }
    m_scheduler->setClassReserves(std::move(classReserves));
}

void GroupAdmission::updateLocality(const FairTargets &targets, std::size_t knownInstances)
{
    const auto count = static_cast<double>(m_siblingCount);
    const double knownFraction = static_cast<double>(knownInstances) / count;
    std::vector<double> locality(m_policy.teams.size(), 1.0 / count);
    for (std::size_t team = 0; team < locality.size(); ++team) {
        if (const auto part = targets.firstInstanceFraction[team])
            locality[team] =
                EvenLocalityFraction / count + (1 - EvenLocalityFraction) * knownFraction * *part;
    }
    m_scheduler->setLocality(std::move(locality));
}

} // namespace Admission
