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

/// A request that a free slot was given to, or that missed its deadline.
struct ScheduledRequest
{
    WaitingRequest request;
    bool borrowed = false;
    int enginePriority = 0;
};

/// The waiting and running requests of one group at one instance, and the order in which slots are
/// given. A class below its floor goes first. Then come teams that use less than their own
/// capacity, the most urgent class first; a team's use counts only classes as urgent or more, so
/// that its urgent work displaces its other work. Lent capacity goes last, by class. Within a class
/// the team with the least service for its weight is next (start-time fair queueing in tokens).
/// No locks: the owner serialises calls.
class SlotScheduler
{
public:
    explicit SlotScheduler(const GroupPolicy &policy);

    /// Position of a team or class in the policy, if it has one.
    std::optional<std::size_t> teamIndex(const Core::TeamId &team) const;
    std::optional<std::size_t> classIndex(const Core::PriorityClassId &priorityClass) const;

    /// Whether another request of the team fits the class's queue: a team may fill at most as much
    /// of it as is left free, so that one flood leaves room for the other teams.
    bool hasQueueRoom(std::size_t classIndex, std::size_t teamIndex) const;

    /// Time that a new request of the team would wait, from the recent pace of its queue.
    std::chrono::microseconds expectedWait(std::size_t classIndex, std::size_t teamIndex) const;

    /// Time from a grant to the first token that the ticket should count on: its own expectation
    /// and what requests of the class lately took beyond theirs, with a margin for their spread.
    std::chrono::microseconds expectedFirstToken(std::size_t classIndex, std::size_t teamIndex,
                                                 const Ticket &ticket) const;
    /// The first token of a running request came.
    void noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now);
    /// Lets what was learned fade while no first tokens come, so that a class that is refused
    /// altogether is tried again. Call at a steady pace.
    void decayDelays();

    /// Adds a request whose team and class the policy knows. A resumed one goes to the front.
    void enqueue(WaitingRequest request);

    /// Takes a waiting request out, for a caller that went away.
    std::optional<WaitingRequest> withdraw(std::uint64_t number);

    /// Gives a slot to the next request, if one may run.
    std::optional<ScheduledRequest> next(std::uint32_t share, Core::Clock::Monotonic now);

    /// Takes out a request at the head of a queue whose deadline can no longer be met.
    std::optional<WaitingRequest> takeUnreachable(Core::Clock::Monotonic now);

    /// Ends a running request, charges its team the tokens really used, and returns the team.
    /// Nothing when the number names no running request.
    std::optional<Core::TeamId> finish(std::uint64_t number, std::uint64_t usedTokens,
                                       Core::Clock::Monotonic now);

    /// A running request that should yield to a waiting one, marked so that it is named only once.
    std::optional<std::uint64_t> preemptionVictim(std::uint32_t share);

    /// The part of each team's demand in the fleet that this instance sees, by team position.
    void setLocality(std::vector<double> locality) { m_locality = std::move(locality); }

    /// Keeps this many slots free of borrowed work, for teams below their own capacity.
    void setReserve(std::uint32_t slots) { m_reserve = slots; }
    /// Keeps slots free of each class's work, by class position, for more urgent classes.
    void setClassReserves(std::vector<std::uint32_t> slots) { m_classReserves = std::move(slots); }
    /// Slots that the team could still take within its own capacity, at most as many as given.
    double remainingOwnedSlots(std::size_t teamIndex, double atMost) const;

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t waiting() const;
    /// Running and waiting requests of one team in one class.
    std::size_t demand(std::size_t classIndex, std::size_t teamIndex) const;

    /// Moves the requests over to another scheduler. Returns waiting ones that its policy does not
    /// know.
    std::vector<WaitingRequest> moveTo(SlotScheduler &next);

private:
    struct Queue
    {
        std::deque<WaitingRequest> waiting;
        std::uint32_t running = 0;
        /// Running requests that were asked to yield.
        std::uint32_t yielding = 0;
        /// Running requests, of any queue, that yield for this queue's sake.
        std::uint32_t pendingYields = 0;
        /// Tokens of service divided by weight.
        double service = 0;
        /// Time between grants while the queue was never empty; 0 while unknown.
        std::chrono::duration<double> grantInterval {0};
        std::optional<Core::Clock::Monotonic> lastGrant;
    };
    struct ClassState
    {
        std::size_t queued = 0;
        std::uint32_t running = 0;
        std::uint32_t yielding = 0;
        double virtualTime = 0;
        /// Slot-seconds by which the class is behind its floor.
        double floorDebt = 0;
        /// Delays of work within and beyond its team's own capacity, which engines order apart.
        DelayEstimate ownDelay;
        DelayEstimate borrowedDelay;
        /// Teams with waiting requests.
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
        /// The queue for whose sake the request was asked to yield.
        std::optional<std::size_t> yieldsTo;
    };
    struct Choice
    {
        std::size_t classIndex = 0;
        std::size_t teamIndex = 0;
        bool borrowed = false;
    };
    /// Which of the passes over the queues a choice is made in.
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
    /// Class and team of each waiting request.
    std::unordered_map<std::uint64_t, std::size_t> m_waitingCells;
    /// Running requests that may be preempted, by the order in which they started.
    std::map<std::uint64_t, std::uint64_t> m_preemptible;
    std::uint32_t m_share = 0;
    std::uint32_t m_reserve = 0;
    std::vector<std::uint32_t> m_classReserves;
    std::uint64_t m_started = 0;
    std::optional<Core::Clock::Monotonic> m_lastUpdate;
};

} // namespace Admission
