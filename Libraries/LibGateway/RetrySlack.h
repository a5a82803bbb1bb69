#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <optional>

namespace Gateway {

/// The part of the retry budgets' slack that this instance may use. The parts of all instances that
/// count in one window add up to at most 4/3, although instances learn of each other late, restart,
/// and may be cut off from the journal; RetryBudgetShare uses three quarters.
///
/// An instance has no part until an announcement of its own has stood in the journal for a window:
/// by then the retries of an earlier process of its name no longer count. It has none either once
/// the other members may drop it. Until the announcement has stood for two windows, and while its
/// own knowledge of the journal is older than one, instances may not know each other, and the part
/// is reduced to a third.
class RetrySlack
{
public:
    /// Records that an announcement of this instance is now known to stand in the journal. The
    /// first time is one before it was written.
    void noteAnnounced(Core::Clock::Monotonic writtenAfter, std::chrono::seconds window,
                       Core::Clock::Monotonic now);
    /// Records that the announcement is the first record of the journal, so that no retries of
    /// other processes count.
    void noteFirst(std::chrono::seconds window, Core::Clock::Monotonic now);
    /// Records that all announcements that were written until the first time have been read, and
    /// how many instances are known since.
    void noteJournalRead(Core::Clock::Monotonic asOf, unsigned instances,
                         std::chrono::seconds window, Core::Clock::Monotonic now);
    /// Records the number of instances that are known by other means as well.
    void noteInstances(unsigned instances);

    /// Returns the part, from 0 to 1.
    double part(std::chrono::seconds window, Core::Clock::Monotonic now) const;

private:
    using Time = std::optional<Core::Clock::Monotonic>;

    /// Returns whether the last time is so long ago that other members may have dropped this
    /// instance, or that it may have dropped others, within a window from now.
    static bool isLapsed(Time last, std::chrono::seconds window, Core::Clock::Monotonic now);

    /// Since when announcements of this instance are known to stand in the journal.
    Core::Clock::Monotonic m_standsSince;
    /// A time before the newest of them was written.
    Time m_announced;
    Time m_journalAsOf;
    /// The number of instances when the journal was read last, or more. Members that are dropped
    /// while it cannot be read may still use their parts.
    unsigned m_instances = 1;
};

} // namespace Gateway
