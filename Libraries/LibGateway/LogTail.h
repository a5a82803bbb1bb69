#pragma once

#include <LibGateway/FleetLog.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <set>

namespace Gateway {

/// The newest records of one of the store's logs as this instance has read them, for siblings that
/// ask.
class LogTail
{
public:
    /// Older records are forgotten beyond this; siblings that want them ask the store.
    static constexpr std::size_t MaxBytes = 512 * 1024;

    /// Begins anew behind what a read of the newest records told.
    void restart(std::uint64_t next);
    /// Takes a page that was read from the given offset on.
    void extend(std::uint64_t from, const FleetPage &page);

    /// Whether it tells all that is known from the offset on.
    bool covers(std::uint64_t from) const
    {
        return m_isStarted && from >= m_first && m_asOf != Core::Clock::Monotonic::min();
    }
    /// The records from the offset on, with the newest time that the store was asked for them.
    FleetPage page(std::uint64_t from) const;
    std::uint64_t next() const { return m_first + m_records.size(); }
    Core::Clock::Monotonic asOf() const { return m_asOf; }

    /// Waits until there is a record at the offset, or for the given time.
    boost::asio::awaitable<void> awaitRecord(std::uint64_t offset, std::chrono::milliseconds time);

private:
    void dropOldest();

    std::deque<FleetRecord> m_records;
    std::uint64_t m_first = 0;
    std::size_t m_bytes = 0;
    bool m_isStarted = false;
    Core::Clock::Monotonic m_asOf = Core::Clock::Monotonic::min();
    Core::Clock::Monotonic m_lastStoreFailure = Core::Clock::Monotonic::min();
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace Gateway
