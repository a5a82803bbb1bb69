#pragma once

#include <LibCore/Clock.h>

#include <chrono>

namespace Gateway {

/// What an instance still does with requests after it was told to stop. The times count from that
/// moment and not from a check of it, so that a busy process acts on them late but not differently.
class PlannedStop
{
public:
    /// Begins the stop of a process that is killed after the grace period.
    void begin(Core::Clock::Monotonic now, std::chrono::milliseconds grace);
    bool hasBegun() const { return m_begin != Core::Clock::Monotonic::max(); }

    /// Returns whether callers must be expected to have noticed the stop, so that only connections
    /// that they keep can bring requests.
    bool isNoticed(Core::Clock::Monotonic now) const { return now >= m_noticed; }
    /// Returns whether a request that arrives now and has that much time left is refused.
    bool refuses(Core::Clock::Monotonic now, std::chrono::milliseconds timeLeft) const;
    /// Returns whether a request that is sent to an upstream only now, and has that much time left,
    /// might not be answered before requests end.
    bool mayCut(Core::Clock::Monotonic now, std::chrono::milliseconds timeLeft) const;

    /// When the requests that are still running end, answered as far as possible.
    Core::Clock::Monotonic requestsEnd() const { return m_requestsEnd; }
    /// When the process exits at the latest.
    Core::Clock::Monotonic exit() const { return m_exit; }

private:
    Core::Clock::Monotonic m_begin = Core::Clock::Monotonic::max();
    Core::Clock::Monotonic m_noticed = Core::Clock::Monotonic::max();
    Core::Clock::Monotonic m_arrivalsEnd = Core::Clock::Monotonic::max();
    Core::Clock::Monotonic m_refusalsBegin = Core::Clock::Monotonic::max();
    Core::Clock::Monotonic m_requestsEnd = Core::Clock::Monotonic::max();
    Core::Clock::Monotonic m_exit = Core::Clock::Monotonic::max();
};

} // namespace Gateway
