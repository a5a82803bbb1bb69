#pragma once

#include <LibGateway/FleetLog.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace Gateway {

/// The newest records of one log that this instance has read, which it serves to siblings.
class LogTail
{
public:
    /// The oldest records are dropped beyond this size. Siblings that need them read from the
    /// store.
    static constexpr std::size_t MaxBytes = 512 * 1024;

    /// Clears the records and continues after a read of the newest record of each key.
    void restart(const FleetPage &newest);
    /// Appends a page that was read from the given position on.
    void extend(LogPosition from, const FleetPage &page);

    /// Returns whether the tail holds all known records from the position on. A tail of one era
    /// knows nothing about those of another.
    bool covers(LogPosition from) const
    {
        return m_isStarted && from.era() == m_first.era() && from >= m_first
               && m_asOf != Core::Clock::Monotonic::min();
    }
    /// Returns the records from the offset on, and the time of the most recent query of the store.
    FleetPage page(LogPosition from) const;
    /// Returns whether the newest record of each key is known.
    bool hasNewest() const { return m_hasNewest; }
    /// Returns the newest record of each key, as of the records that the tail holds.
    FleetPage newest() const;
    LogPosition next() const { return m_first + m_records.size(); }
    Core::Clock::Monotonic asOf() const { return m_asOf; }

    /// Waits until there is a record at the position, at most for the given time.
    boost::asio::awaitable<void> awaitRecord(LogPosition position, std::chrono::milliseconds time);

private:
    void restart(LogPosition next);
    void noteNewest(const FleetRecord &record);
    void dropOldest();

    std::deque<FleetRecord> m_records;
    std::map<std::string, FleetRecord> m_newest;
    bool m_hasNewest = false;
    LogPosition m_first;
    std::size_t m_bytes = 0;
    bool m_isStarted = false;
    Core::Clock::Monotonic m_asOf = Core::Clock::Monotonic::min();
    Core::Clock::Monotonic m_lastStoreFailure = Core::Clock::Monotonic::min();
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace Gateway
