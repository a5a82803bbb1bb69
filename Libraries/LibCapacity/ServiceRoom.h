#pragma once

#include <LibCapacity/AnswerTimeEstimate.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Capacity {

/// What the decision needs to know of a request for a plain service.
struct RoomRequest
{
    /// The time that the caller will still wait.
    Milliseconds remaining {0};
    /// The time to the answer that the service is meant to have.
    Milliseconds target {0};
    /// The time after which the answer is late for the caller, who may have been refused before;
    /// zero or less if it is late already.
    Milliseconds untilLate {0};
    /// Whether the request may run at most once.
    bool isOnce = false;
    /// Whether the caller was refused before and has returned.
    bool isReturning = false;
};

/// An upstream and the exact number of requests of all instances at it.
struct RoomLoad
{
    std::uint64_t upstream = 0;
    unsigned slots = 1;
    unsigned ahead = 0;
};

/// Decides whether a plain service's upstreams have room for a request, and learns their answer
/// times. One object per service and instance.
///
/// Answers overload, and many instances that share few slots: a request is sent only where it is
/// expected to be answered in time, so that the queues of the upstreams stay short enough for every
/// request in them. Idempotent requests may use a part of the queue only, so that they are refused
/// before requests that run at most once, and so may requests whose answer
/// will be late, so that callers who return do not take the place of those who can be answered in
/// time.
class ServiceRoom
{
public:
    /// Returns the number of requests at the upstream from which on the request is not sent there;
    /// at least 1. While a slot is free, a request is sent even if its answer may be late.
    unsigned limit(std::uint64_t upstream, unsigned slots, const RoomRequest &request,
                   Monotonic now) const;

    /// Returns how long a request may be counted in the load of the upstream if its end is not
    /// heard of, because the datagram was lost or its instance ended.
    Milliseconds maxCounted(const RoomLoad &load, const RoomRequest &request) const;

    /// Returns after which time a request that was refused is expected to find room. The callers
    /// that are refused together are spread by `spread`, a random number from 0 to 1.
    Milliseconds untilRoom(const RoomLoad &load, const RoomRequest &request, double spread,
                           Monotonic now) const;

    /// Returns the expected answer time of the upstream, without a wait for a slot. Before its
    /// first answer, that of the service; before that of the service, a part of the target.
    Milliseconds answerTime(std::uint64_t upstream, Milliseconds target) const;
    /// Returns when the upstream last answered; empty if no answer is known.
    std::optional<Monotonic> lastAnswer(std::uint64_t upstream) const;

    /// Records a complete answer, the time since its request was sent and the load at that time.
    void noteAnswer(const RoomLoad &load, Milliseconds elapsed, Monotonic now);
    /// Records that the upstream did not accept a request with this load. For some seconds, its
    /// queue is assumed to end there.
    void noteRejected(const RoomLoad &load, Monotonic now);

private:
    struct State
    {
        AnswerTimeEstimate answerTime;
        /// The load at which the upstream rejected a request, and the time until which that counts.
        unsigned fullAt = 0;
        Monotonic fullUntil = Monotonic::min();
        Monotonic lastUse = Monotonic::min();
    };

    State &stateOf(std::uint64_t upstream, Monotonic now);

    std::map<std::uint64_t, State> m_upstreams;
    AnswerTimeEstimate m_all;
};

} // namespace Capacity
