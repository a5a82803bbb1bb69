#pragma once

#include <LibAdmission/GroupAdmission.h>
#include <LibAdmission/TeamLimits.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibCore/Snapshot.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>

namespace Admission {

/// Identifies this instance and its current incarnation to its siblings.
struct Identity
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
};

/// Decides which requests are sent to the upstream groups, in which order, and which are refused.
/// Groups are independent of each other: a decision takes the lock of one group only. All functions
/// are thread-safe. Hooks run on the thread whose call led to the decision, after all locks have
/// been released, and may call the controller again.
class Controller
{
public:
    /// Creates a controller. The clock must outlive it. Fails with ConfigurationInvalid if the
    /// shares of a group add up to more than 1.
    static Core::Result<std::unique_ptr<Controller>> create(const Core::Clock &clock,
                                                            Identity identity, const Policy &policy,
                                                            PreemptionHook preempt = {});

    /// Replaces the policy. Running requests continue, and groups keep their indexes. Fails with
    /// ConfigurationInvalid like create().
    Core::Result<void> configure(const Policy &policy);
    /// Sets how many requests the group's live upstreams can run concurrently.
    void setSlots(const Core::UpstreamGroupId &group, std::uint32_t slots);
    /// Sets the instances that share the same upstreams, including this one, as listed by the
    /// platform. An instance must not be left out because this instance merely suspects it of
    /// having failed; otherwise safe shares would overlap during a network partition. While
    /// instances have different lists, the safe shares can exceed the total by one share for each
    /// instance that is missing from some of the lists.
    void setSiblings(std::span<const Core::InstanceId> instances);

    /// Submits a request. The hook may be called before this function returns.
    TicketId submit(Ticket ticket, DecisionHook hook);
    /// Records the first token of a granted request. The delay beyond the ticket's estimate is
    /// averaged, so that early rejection accounts for queues inside the upstreams.
    void noteFirstToken(TicketId id);
    /// Ends a granted request. `usedTokens` is the number of tokens that its upstream computed and
    /// generated.
    void release(TicketId id, std::uint64_t usedTokens);
    /// Removes a waiting request. Returns true if it was waiting; its hook is then never called.
    bool withdraw(TicketId id);
    /// Refuses requests that can no longer meet their deadline, updates the lending plans and hands
    /// out free slots. Must be called every 50 to 200 ms, from one thread at a time.
    void tick();

    /// Builds the next report for the sibling. Must be called for each sibling after tick().
    SiblingReport report(const Core::InstanceId &sibling);
    /// Applies a sibling's report. Ignores duplicates, reports older than the latest one applied
    /// and this instance's own reports.
    void applySiblingReport(const SiblingReport &report);

    /// Returns the status of a group; all zeros if the group is unknown.
    GroupStatus status(const Core::UpstreamGroupId &group) const;

private:
    struct GroupTable
    {
        std::unordered_map<Core::UpstreamGroupId, std::uint32_t> indexes;
        std::vector<std::shared_ptr<GroupAdmission>> groups;
    };
    /// The number of recent reports to each sibling whose send times are kept.
    static constexpr std::size_t MaxTrackedReports = 64;
    struct SentReport
    {
        std::uint64_t sequence = 0;
        Core::Clock::Monotonic time;
    };
    struct Sibling
    {
        std::uint64_t incarnation = 0;
        std::uint64_t lastReceived = 0;
        std::uint64_t lastSent = 0;
        std::array<SentReport, MaxTrackedReports> sent;
    };
    Controller(const Core::Clock &clock, Identity identity, PreemptionHook preempt);

    std::shared_ptr<GroupAdmission> group(std::uint32_t index) const;
    std::vector<std::shared_ptr<GroupAdmission>> allGroups() const;
    void deliver(GroupActions actions);
    void forgetSibling(const Core::InstanceId &sibling);
    /// Records a report as received and returns the updated state of its sender, or nothing if the
    /// report must be ignored.
    std::optional<Sibling> noteReceived(const SiblingReport &report);
    static Core::Clock::Monotonic sentTime(const Sibling &sibling, std::uint64_t sequence);

    const Core::Clock &m_clock;
    const Identity m_identity;
    const PreemptionHook m_preempt;
    Core::Snapshot<GroupTable> m_table;
    TeamLimits m_limits;
    std::atomic<std::uint64_t> m_lastTicket {0};
    std::mutex m_configureMutex;
    std::uint32_t m_siblingIndex = 0;
    std::uint32_t m_siblingCount = 1;
    std::mutex m_siblingMutex;
    std::unordered_map<Core::InstanceId, Sibling> m_siblings;
};

} // namespace Admission
