#pragma once

#include <LibAdmission/DelayEstimate.h>
#include <LibAdmission/Policy.h>
#include <LibAdmission/Ticket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Admission {

/// A request that waits for a slot.
struct WaitingRequest
{
    std::uint64_t number = 0;
    Ticket ticket;
    DecisionHook hook;
    Core::Clock::Monotonic arrived;
};

/// A request to which a free slot was assigned.
struct ScheduledRequest
{
    WaitingRequest request;
    bool borrowed = false;
    int enginePriority = 0;
};

/// Holds the waiting and running requests of one group at one instance and decides the order in
/// which they get slots. Classes below their floor are served first. Next are teams that use less
/// than their own capacity (entitled teams), the most urgent class first; a team's use counts only
/// requests of the same or more urgent classes, so that its urgent work displaces its other work.
/// Lent capacity is assigned last, by class. Within a class, the team with the least service
/// relative to its weight is next (start-time fair queueing, with service counted in tokens). Not
/// thread-safe: the owner must serialise calls.
class SlotScheduler
{
public:
    explicit SlotScheduler(const GroupPolicy &policy);

    /// Returns the index of a team or class in the policy, if the policy has it.
    std::optional<std::size_t> teamIndex(const Core::TeamId &team) const;
    std::optional<std::size_t> classIndex(const Core::PriorityClassId &priorityClass) const;

    /// Whether another request of the team may enter the class's queue. A team may have at most as
    /// many requests in the queue as there are free places, so that a burst of one team leaves room
    /// for the others.
    bool hasQueueRoom(std::size_t classIndex, std::size_t teamIndex) const;

    /// Estimates how long a new request of the team would wait for a slot, from the queue length
    /// and the average interval between grants.
    std::chrono::microseconds expectedWait(std::size_t classIndex, std::size_t teamIndex) const;

    /// Estimates the time from the grant to the first token: the ticket's own estimate plus the
    /// recent delay of the class's requests beyond theirs, with a margin for its spread.
    std::chrono::microseconds expectedFirstToken(std::size_t classIndex, std::size_t teamIndex,
                                                 const Ticket &ticket) const;
    /// Records the first token of a running request.
    void noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now);
    /// Reduces the delay estimates that got no new sample since the last call, so that a class
    /// whose requests are all refused is eventually tried again. Must be called at regular
    /// intervals.
    void decayDelays();

    /// Adds a request to its queue; a resumed one goes to the front. The policy must have its team
    /// and class.
    void enqueue(WaitingRequest request);

    /// Removes a waiting request whose caller has disconnected.
    std::optional<WaitingRequest> withdraw(std::uint64_t number);

    /// Assigns a slot to the next request, if one may run within the given share of slots.
    std::optional<ScheduledRequest> next(std::uint32_t share, Core::Clock::Monotonic now);

    /// Removes a request from the head of a queue if its deadline can no longer be met.
    std::optional<WaitingRequest> takeUnreachable(Core::Clock::Monotonic now);

    /// Ends a running request, charges its team for the tokens actually used and returns the team.
    /// Returns nothing if no request with this number is running.
    std::optional<Core::TeamId> finish(std::uint64_t number, std::uint64_t usedTokens,
                                       Core::Clock::Monotonic now);

    /// Returns a running request that should be preempted in favour of a waiting one, if any. Each
    /// request is returned at most once.
    std::optional<std::uint64_t> preemptionVictim(std::uint32_t share);

    /// Sets the fraction of each team's fleet-wide demand that is at this instance, by team index.
    void setLocality(std::vector<double> locality) { m_locality = std::move(locality); }

    /// Sets how many slots are kept free of borrowed work, for teams below their own capacity.
    void setReserve(std::uint32_t slots) { m_reserve = slots; }
    /// Sets how many slots are kept free of each class's work, for more urgent classes, by class
    /// index.
    void setClassReserves(std::vector<std::uint32_t> slots) { m_classReserves = std::move(slots); }
    /// Returns how many more slots the team may use within its own capacity, at most `atMost`.
    double remainingOwnedSlots(std::size_t teamIndex, double atMost) const;

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t waiting() const;
    /// Returns the number of running and waiting requests of one team in one class.
    std::size_t demand(std::size_t classIndex, std::size_t teamIndex) const;

    /// Moves all requests to another scheduler. Returns the waiting requests whose team or class
    /// the other scheduler's policy does not have.
    std::vector<WaitingRequest> moveTo(SlotScheduler &next);

private:
    struct Queue
    {
        std::deque<WaitingRequest> waiting;
        std::uint32_t running = 0;
        /// The number of running requests that are being preempted.
        std::uint32_t yielding = 0;
        /// The number of running requests, of any queue, being preempted in favour of this queue.
        std::uint32_t pendingYields = 0;
        /// Service received, in tokens divided by the weight of the team.
        double service = 0;
        /// The average time between grants while the queue is not empty; 0 if not known yet.
        std::chrono::duration<double> grantInterval {0};
        std::optional<Core::Clock::Monotonic> lastGrant;
    };
    struct ClassState
    {
        std::size_t queued = 0;
        std::uint32_t running = 0;
        std::uint32_t yielding = 0;
        double virtualTime = 0;
        /// How far the class is behind its floor, in slot-seconds.
        double floorDebt = 0;
        /// First-token delays of requests within and beyond their team's own capacity. They are
        /// kept separately because engines get different priorities for them.
        DelayEstimate ownDelay;
        DelayEstimate borrowedDelay;
        /// The teams that have waiting requests.
        std::vector<std::size_t> active;
    };
    struct Running
    {
        WaitingRequest request;
        std::size_t classIndex = 0;
        std::size_t teamIndex = 0;
        std::uint64_t startOrder = 0;
        Core::Clock::Monotonic granted;
        bool isBorrowed = false;
        /// The index of the queue in whose favour the request is being preempted, if any.
        std::optional<std::size_t> yieldsTo;
    };
    struct Choice
    {
        std::size_t classIndex = 0;
        std::size_t teamIndex = 0;
        bool borrowed = false;
    };
    /// The passes over the queues, in the order in which they are made.
    enum class Pass {
        Floor,
        Owned,
        Borrowed,
    };

    Queue &queue(std::size_t classIndex, std::size_t teamIndex);
    const Queue &queue(std::size_t classIndex, std::size_t teamIndex) const;
    double weight(std::size_t teamIndex) const;
    double ownedSlots(std::size_t teamIndex) const;
    double usedSlots(std::size_t classIndex, std::size_t teamIndex) const;
    bool isEntitled(std::size_t classIndex, std::size_t teamIndex) const;
    bool isBelowFloor(std::size_t classIndex, std::uint32_t share) const;
    bool isReserved(std::size_t classIndex, Pass pass, std::uint32_t share) const;
    bool mayTake(std::size_t classIndex, std::size_t teamIndex, Pass pass) const;
    std::optional<std::size_t> nextTeam(std::size_t classIndex, Pass pass) const;
    std::optional<Choice> choose(Pass pass, std::uint32_t share) const;
    ScheduledRequest start(const Choice &choice, Core::Clock::Monotonic now);
    void noteRunning(Running entry, std::size_t classIndex, std::size_t teamIndex);
    WaitingRequest popFront(std::size_t classIndex, std::size_t teamIndex);
    void noteWaitingRemoved(std::size_t classIndex, std::size_t teamIndex, std::uint64_t number);
    static void updateGrantInterval(Queue &queue, Core::Clock::Monotonic now);
    void updateFloorDebt(Core::Clock::Monotonic now);
    std::optional<Choice> preemptor(std::size_t classIndex, std::size_t teamIndex) const;
    bool mayYield(const Running &victim, const Choice &waiting, std::uint32_t share) const;
    std::optional<std::uint64_t> youngestVictim(const Choice &waiting, std::uint32_t share);

    GroupPolicy m_policy;
    std::unordered_map<Core::TeamId, std::size_t> m_teams;
    std::vector<double> m_locality;
    std::vector<Queue> m_queues;
    std::vector<ClassState> m_classes;
    std::unordered_map<std::uint64_t, Running> m_running;
    /// The index in m_queues of each waiting request, by request number.
    std::unordered_map<std::uint64_t, std::size_t> m_waitingCells;
    /// Running requests that may be preempted: from start order to request number.
    std::map<std::uint64_t, std::uint64_t> m_preemptible;
    std::uint32_t m_share = 0;
    std::uint32_t m_reserve = 0;
    std::vector<std::uint32_t> m_classReserves;
    std::uint64_t m_started = 0;
    std::optional<Core::Clock::Monotonic> m_lastUpdate;
};

} // namespace Admission
