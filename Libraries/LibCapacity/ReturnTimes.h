#pragma once

#include <LibCapacity/Time.h>

#include <chrono>
#include <cstddef>
#include <map>

namespace Capacity {

/// A request that is refused for want of capacity.
struct RefusedRequest
{
    /// The time by which the expected wait exceeds the longest that is accepted.
    Milliseconds excess {0};
    /// The time for which the request would occupy this instance's part of the capacity.
    Milliseconds work {0};
    /// The time that the caller has left.
    std::chrono::milliseconds remaining {0};
};

/// Determines when callers that were refused for want of capacity should return.
///
/// Answers synchronous returns: requests that are refused in the same moment expect the same wait
/// and would return together, where most of them are refused again. Each promise of capacity
/// therefore delays the next ones by the work that it stands for, and each time is spread at
/// random. A promise lapses when its time has come, so callers that do not return delay nobody for
/// long.
class ReturnTimes
{
public:
    /// The share of the remaining time beyond which callers do not wait for a return.
    static constexpr int RemainingShare = 3;

    /// Returns the time after which the caller may return, and records that as promised. The random
    /// number is at least 0 and less than 1.
    std::chrono::milliseconds promise(const RefusedRequest &request, double random, Monotonic now);
    /// Returns the work that was promised to callers that have not returned yet.
    Milliseconds promisedWork(Monotonic now);
    std::size_t promises() const { return m_promises.size(); }

private:
    void dropLapsed(Monotonic now);

    /// The work of each promise, by the time of the return.
    std::multimap<Monotonic, Milliseconds> m_promises;
};

} // namespace Capacity
