#pragma once

#include <LibCore/Clock.h>

#include <chrono>

namespace Gateway {

/// Detects the outages of the store that are long enough for entries of sound upstreams to expire,
/// and determines until when these upstreams may be missing in the list.
///
/// An entry expires after three report intervals of silence. The last report may be one interval
/// old when an outage begins, so the outage has to last for two. A single failed read of a store
/// that answers the next one is no such outage, and neither is one in which siblings read the
/// store.
class ExpiryOutages
{
public:
    /// Records that the store did not answer this instance, or the one that it reads through.
    void noteFailure(Core::Clock::Monotonic time);
    /// Records that the store answered this instance or one that it reads through, given the
    /// interval between two reports of an upstream.
    void noteAnswer(Core::Clock::Monotonic time, std::chrono::milliseconds reportInterval);
    /// Records that the store has lost recent entries, which their upstreams write again.
    void noteLostEntries(Core::Clock::Monotonic time);
    /// Returns whether an upstream that is missing in the list may be about to register again.
    bool mayRegisterAgain(Core::Clock::Monotonic now) const { return now < m_registrationEnd; }
    /// Returns until when that is so; the minimum time before the first outage.
    Core::Clock::Monotonic registrationEnd() const { return m_registrationEnd; }
    /// Returns the time of the last failure; the minimum time when there was none.
    Core::Clock::Monotonic lastFailure() const { return m_lastFailure; }

private:
    Core::Clock::Monotonic m_lastAnswer = Core::Clock::Monotonic::min();
    Core::Clock::Monotonic m_lastFailure = Core::Clock::Monotonic::min();
    Core::Clock::Monotonic m_registrationEnd = Core::Clock::Monotonic::min();
};

} // namespace Gateway
