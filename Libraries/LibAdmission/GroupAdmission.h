#pragma once

#include <LibAdmission/LeasedShare.h>
#include <LibAdmission/SiblingReport.h>
#include <LibAdmission/SlotScheduler.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Admission {

/// A decision that was made under a lock and is delivered after it.
struct PendingDecision
{
    DecisionHook hook;
    Core::Result<Grant> result;
};

/// What one call into a group brought about.
struct GroupActions
{
    std::vector<PendingDecision> decisions;
    std::vector<TicketId> preemptions;
    /// The team of each request that is neither waiting nor running any more.
    std::vector<Core::TeamId> endedRequestTeams;
};

/// Figures of one group at one instance.
struct GroupStatus
{
    std::uint32_t share = 0;
    std::uint32_t safeShare = 0;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
};

/// Admission to one upstream group at one instance. Every function is safe from any thread; the
/// caller delivers the returned actions.
class GroupAdmission
{
public:
    GroupAdmission(std::uint32_t groupIndex, const GroupPolicy &policy);

    /// Replaces the rules. Waiting requests that the new ones do not allow are refused.
    GroupActions configure(const GroupPolicy &policy, Core::Clock::Monotonic now);
    /// Sets how many requests the group's live upstreams run at once.
    GroupActions setSlots(std::uint32_t slots, Core::Clock::Monotonic now);
    /// Sets this instance's position among its siblings.
    GroupActions setPosition(std::uint32_t index, std::uint32_t count, Core::Clock::Monotonic now);

    GroupActions submit(std::uint64_t number, Ticket ticket, DecisionHook hook,
                        Core::Clock::Monotonic now);
    /// The first token of a granted request came.
    void noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now);
    GroupActions release(std::uint64_t number, std::uint64_t usedTokens,
                         Core::Clock::Monotonic now);
    /// Drops a waiting request whose caller went away. Its hook is not called. Returns its
    /// team, or nothing when it does not wait.
    std::optional<Core::TeamId> withdraw(std::uint64_t number);
    /// Refuses what can no longer be in time, renews the lending plan and hands out free slots.
    GroupActions tick(Core::Clock::Monotonic now);

    /// The group's part of the next report to a sibling.
    GroupReport report(const Core::InstanceId &sibling, std::uint64_t answeredSequence,
                       Core::Clock::Monotonic now);
    GroupActions applyReport(const Core::InstanceId &sibling, const GroupReport &report,
                             Core::Clock::Monotonic answeredReportSent, Core::Clock::Monotonic now);
    void forgetSibling(const Core::InstanceId &sibling);

    GroupStatus status(Core::Clock::Monotonic now) const;

private:
    struct SiblingDemand
    {
        std::vector<TeamDemand> demands;
        Core::Clock::Monotonic receivedAt;
    };

    std::optional<Core::Error> earlyRejection(const Ticket &ticket,
                                              Core::Clock::Monotonic now) const;
    static void refuse(GroupActions &actions, WaitingRequest request, Core::Error error);
    void replaceScheduler(GroupActions &actions);
    void dispatch(GroupActions &actions, Core::Clock::Monotonic now);
    void updateOwnDemand();
    void updatePlan(Core::Clock::Monotonic now);
    void updateReserve(Core::Clock::Monotonic now);
    void updateLocality(const FairTargets &targets, std::size_t knownInstances);

    const std::uint32_t m_groupIndex;
    mutable std::mutex m_mutex;
    GroupPolicy m_policy;
    std::unique_ptr<SlotScheduler> m_scheduler;
    LeasedShare m_share;
    std::uint32_t m_siblingIndex = 0;
    std::uint32_t m_siblingCount = 1;
    std::vector<TeamDemand> m_ownDemand;
    std::map<Core::InstanceId, SiblingDemand> m_siblings;
    std::map<Core::InstanceId, std::uint32_t> m_lendingPlan;
};

} // namespace Admission
