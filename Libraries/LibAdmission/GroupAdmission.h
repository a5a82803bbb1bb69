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

/// A decision that was made while a lock was held and is delivered after the lock is released.
struct PendingDecision
{
    DecisionHook hook;
    Core::Result<Grant> result;
};

/// The effects of one call to a GroupAdmission, to be delivered by the caller.
struct GroupActions
{
    std::vector<PendingDecision> decisions;
    std::vector<TicketId> preemptions;
    /// The team of each request that neither waits nor runs any longer, to be counted out of the
    /// team limits.
    std::vector<Core::TeamId> endedRequestTeams;
};

/// The status of one group at one instance, in slots and requests.
struct GroupStatus
{
    std::uint32_t share = 0;
    std::uint32_t safeShare = 0;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
};

/// Admits requests to one upstream group at one instance. All functions are thread-safe. The caller
/// must deliver the returned actions.
class GroupAdmission
{
public:
    GroupAdmission(std::uint32_t groupIndex, const GroupPolicy &policy);

    /// Replaces the policy. Waiting requests whose team or class the new policy does not have are
    /// refused.
    GroupActions configure(const GroupPolicy &policy, Core::Clock::Monotonic now);
    /// Sets how many requests the group's live upstreams can run concurrently.
    GroupActions setSlots(std::uint32_t slots, Core::Clock::Monotonic now);
    /// Sets this instance's index among the `count` instances that share the group.
    GroupActions setPosition(std::uint32_t index, std::uint32_t count, Core::Clock::Monotonic now);

    GroupActions submit(std::uint64_t number, Ticket ticket, DecisionHook hook,
                        Core::Clock::Monotonic now);
    /// Records the first token of a granted request.
    void noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now);
    GroupActions release(std::uint64_t number, std::uint64_t usedTokens,
                         Core::Clock::Monotonic now);
    /// Removes a waiting request whose caller has disconnected, without calling its hook. Returns
    /// its team, or nothing if no such request is waiting.
    std::optional<Core::TeamId> withdraw(std::uint64_t number);
    /// Refuses requests that can no longer meet their deadline, updates the lending plan and hands
    /// out free slots.
    GroupActions tick(Core::Clock::Monotonic now);

    /// Builds the group's part of the next report to a sibling. `answeredSequence` is the sequence
    /// number of the sibling's latest report.
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
