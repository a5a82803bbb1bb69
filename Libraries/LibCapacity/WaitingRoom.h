#pragma once

#include <LibCapacity/Time.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Capacity {

/// The bounds of an instance's queue.
struct WaitingLimits
{
    /// The maximum number of requests.
    std::size_t requests = 64;
    /// The maximum memory of their bodies.
    std::size_t bytes = std::size_t {16} * 1024 * 1024;
};

/// What is expected of a request that was planned and found no capacity.
struct WaitingOutlook
{
    /// The wait at the best upstream, if the request were sent there now.
    Milliseconds wait {0};
    /// The time that the upstream needs for the request itself, until its answer begins.
    Milliseconds ownTime {0};
    /// The time by which the wait exceeds the longest that is accepted.
    Milliseconds excess {0};
};

/// A request that could be queued.
struct WaitingRequest
{
    /// The name of the route. Each route has a queue of its own.
    std::string lane;
    std::size_t bytes = 0;
    /// The team's use of its share; 1 or less is within the share.
    double teamUse = 0;
    bool isUrgent = false;
    /// Whether the caller was refused before and has returned.
    bool isReturning = false;
    Monotonic arrival;
    /// When the caller's time ends.
    Monotonic deadline = Monotonic::max();
    /// When the caller gives up unless the answer has begun; the maximum if it waits until the
    /// deadline.
    Monotonic answerBegins = Monotonic::max();
};

/// Decides which of the requests that wait for capacity at an instance is planned next, which may
/// be queued, and which have to be refused.
///
/// Answers short bursts: a prompt that would wait too long at an engine keeps its place at its
/// instance, where it can still be sent to any engine, and is sent when one has room. Under
/// permanent overload, the queue is kept short by its bounds, and whoever cannot be served in time
/// leaves at once, so that the engines' work is spent on prompts whose callers still wait.
///
/// Requests of different routes are looked at in turn. Within a route, teams within their share
/// come first, then urgent requests, then returning callers, then the earliest deadline.
class WaitingRoom
{
public:
    using Number = std::uint64_t;

    /// The interval at which the first request of a lane is planned again if no request has ended.
    static constexpr std::chrono::milliseconds LookInterval {50};

    explicit WaitingRoom(WaitingLimits limits = {})
        : m_limits(limits)
    { }
    void setLimits(const WaitingLimits &limits) { m_limits = limits; }

    /// Queues the request and returns its number, or returns nothing if it could not be served in
    /// time or if there is no place for it. Requests that lose their place to it are returned by
    /// takeLeaving().
    std::optional<Number> enter(WaitingRequest request, const WaitingOutlook &outlook,
                                Monotonic now);
    /// Removes a request that was sent or refused, or whose caller has gone.
    void leave(Number number);
    /// Records that the request was planned and found no capacity. Returns false, and removes it,
    /// if it cannot be served in time any more.
    bool noteRefused(Number number, const WaitingOutlook &outlook, Monotonic now);
    /// Records that capacity may have become available, so that every lane is looked at again.
    void noteCapacity();

    /// Returns the request that is to be planned now, if there is one. Until leave() or
    /// noteRefused() is called for it, no other request of its lane is returned.
    std::optional<Number> takeNext(Monotonic now);
    /// Removes and returns the requests that have to be refused now, because their time has expired
    /// or because others took their places.
    std::vector<Number> takeLeaving(Monotonic now);
    /// Returns when takeNext() or takeLeaving() has to be called again; empty if nothing waits.
    std::optional<Monotonic> nextLook() const;
    /// Returns when the queued request leaves if it is not sent before.
    std::optional<Monotonic> leavesAt(Number number) const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t bytes() const { return m_bytes; }
    /// Returns the number of waiting requests by lane. Lanes without any are left out.
    std::map<std::string, std::size_t> sizes() const;

private:
    struct Entry
    {
        WaitingRequest request;
        /// The end of the part of the caller's time that may be spent in the queue.
        Monotonic waitEnds;
        /// The latest time to send the request, by its own time.
        Monotonic latestSend;
        Monotonic leavesAt() const { return std::min(waitEnds, latestSend); }
    };
    struct Lane
    {
        std::vector<Number> members;
        std::optional<Number> planned;
        Monotonic lastLook = Monotonic::min();
        /// Whether capacity may have become available since the last look.
        bool isDue = true;
        Monotonic nextLook() const;
    };
    using Lanes = std::map<std::string, Lane>;

    static bool precedesByClass(const WaitingRequest &a, const WaitingRequest &b);
    bool precedes(Number a, Number b) const;
    Number firstOf(const Lane &lane) const;
    Number lastOf(const Lane &lane) const;
    bool hasSpaceFor(std::size_t bytes) const;
    /// Returns the request that loses its place to the given one, if any does.
    std::optional<Number> displacedBy(const WaitingRequest &request) const;

    WaitingLimits m_limits;
    std::map<Number, Entry> m_requests;
    Lanes m_lanes;
    /// The lane whose turn was last.
    std::string m_lastLane;
    std::vector<Number> m_displaced;
    std::size_t m_bytes = 0;
    Number m_lastNumber = 0;
};

} // namespace Capacity
