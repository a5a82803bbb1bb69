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

/// Who this instance is among its siblings.
struct Identity
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
};

/// Decides which requests may be sent to the upstream groups, in which order and when not at all.
/// Groups are independent of each other; a decision takes one group's lock. Every function is safe
/// from any thread. Hooks run in the thread of the call that brought the decision about, after all
/// locks are released, and may call back.
class Controller
{
public:
    /// The clock must outlive the controller. Errors: ConfigurationInvalid when shares of a group
    /// add up to more than the whole.
    static Core::Result<std::unique_ptr<Controller>> create(const Core::Clock &clock,
                                                            Identity identity, const Policy &policy,
                                                            PreemptionHook preempt = {});

    /// Puts other rules in force. Running requests go on; groups keep their numbers.
    Core::Result<void> configure(const Policy &policy);
    /// Sets how many requests the live upstreams of a group run at once.
    void setSlots(const Core::UpstreamGroupId &group, std::uint32_t slots);
    /// Sets the instances that share the same upstreams, this one included, as the platform's list
    /// has them. Own suspicion must not take an instance out, or safe shares would overlap while a
    /// cut lasts. While instances have different lists, the safe shares can add up to more than
    /// the whole, by one share for each instance that some have not heard of.
    void setSiblings(std::span<const Core::InstanceId> instances);

    /// Submits a request. The hook may be called before this returns.
    TicketId submit(Ticket ticket, DecisionHook hook);
    /// The first token of a granted request came. What requests take beyond their expectation is
    /// learned from it, so that early refusal knows the upstreams' own queues.
    void noteFirstToken(TicketId id);
    /// Ends a granted request, with the tokens that its upstream computed and generated.
    void release(TicketId id, std::uint64_t usedTokens);
    /// Drops a waiting request. When this returns true, its hook is not called any more.
    bool withdraw(TicketId id);
    /// Refuses late work and renews shares. Call every 50 to 200 ms, from one thread
    /// at a time.
    void tick();

    /// What to send to the sibling now. Call for each sibling after tick().
    SiblingReport report(const Core::InstanceId &sibling);
    /// Takes a sibling's report. Doubled, late and foreign ones are passed over.
    void applySiblingReport(const SiblingReport &report);

    /// Figures of one group; zeros for an unknown one.
    GroupStatus status(const Core::UpstreamGroupId &group) const;

private:
    struct GroupTable
    {
        std::unordered_map<Core::UpstreamGroupId, std::uint32_t> indexes;
        std::vector<std::shared_ptr<GroupAdmission>> groups;
    };
    /// Reports to a sibling of which the sending time is known.
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
    /// Notes a report as received. Empty when it is to be passed over.
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
