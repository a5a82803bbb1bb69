#pragma once

#include <LibCapacity/Time.h>

#include <optional>

namespace Capacity {

/// Assigns sending times to the requests for an upstream that has limited their rate. One object
/// per upstream, at the instance that keeps its limit for all others.
///
/// Requests are spaced evenly, so that a limit below one request a second holds over any time. A
/// time without requests is made up for by a short burst only, and a new schedule begins at a
/// random time of its first interval.
class RateSchedule
{
public:
    /// The answer to one request.
    struct Reservation
    {
        bool isGranted = false;
        /// The time until the request is to be sent, or after which it is worth asking again.
        Milliseconds wait {0};
    };

    /// Reserves the next sending time, in a schedule of so many requests a second, if it is at most
    /// maxWait away. Instances that are refused together are spread by `spread`, a random number
    /// from 0 to 1.
    Reservation reserve(double perSecond, Milliseconds maxWait, double spread, Monotonic now);

private:
    /// The time of the next request if there are no bursts; empty before the first one.
    std::optional<Monotonic> m_next;
    /// The time between two requests that it was computed with.
    Milliseconds m_interval {0};
    /// The number of refusals since the last reservation.
    unsigned m_refused = 0;
};

/// Returns the part of an upstream's limit that its keeper may assign, in requests a second, if it
/// reaches only some of the instances: the others may have another keeper.
double keptRate(double limit, unsigned reachable, unsigned instances);

} // namespace Capacity
