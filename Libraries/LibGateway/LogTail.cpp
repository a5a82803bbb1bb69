#include <LibGateway/LogTail.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Gateway {

namespace asio = boost::asio;

namespace {

std::size_t sizeOf(const FleetRecord &record)
{
    return sizeof(FleetRecord) + record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void LogTail::restart(const FleetPage &newest)
{
    restart(newest.next);
    for (const auto &record : newest.records)
        noteNewest(record);
    m_hasNewest = true;
    // Records that were known before may be missing in a sibling's page.
    m_asOf = newest.asOf;
    m_lastStoreFailure = std::max(m_lastStoreFailure, newest.lastStoreFailure);
}

void LogTail::noteNewest(const FleetRecord &record)
{
    if (record.key.empty())
        return;
    if (record.value)
        m_newest[record.key] = record;
    else
        m_newest.erase(record.key);
}

FleetPage LogTail::newest() const
{
    FleetPage page;
    page.asOf = m_asOf;
    page.lastStoreFailure = m_lastStoreFailure;
    page.next = next();
    for (const auto &[key, record] : m_newest)
        page.records.push_back(record);
    return page;
}

void LogTail::restart(LogPosition next)
{
    m_records.clear();
    m_newest.clear();
    m_hasNewest = false;
    m_bytes = 0;
    m_first = next;
    m_isStarted = true;
}

void LogTail::extend(LogPosition from, const FleetPage &page)
{
    // The records in between were not read by this instance, or the page is out of order.
    if (!m_isStarted || from > next())
        restart(from);
    const auto previousNext = next();
    for (const auto &record : page.records) {
        if (record.position != next())
            continue;
        m_bytes += sizeOf(record);
        m_records.push_back(record);
        noteNewest(record);
    }
    dropOldest();
    m_lastStoreFailure = std::max(m_lastStoreFailure, page.lastStoreFailure);
    if (page.isComplete && page.next >= previousNext)
        m_asOf = std::max(m_asOf, page.asOf);
    if (next() == previousNext)
        return;
    for (auto *timer : m_waiters)
        timer->cancel();
}

void LogTail::dropOldest()
{
    while (m_bytes > MaxBytes && m_records.size() > 1) {
        m_bytes -= sizeOf(m_records.front());
        m_records.pop_front();
        ++m_first;
    }
}

FleetPage LogTail::page(LogPosition from) const
{
    FleetPage page;
    page.asOf = m_asOf;
    page.lastStoreFailure = m_lastStoreFailure;
    page.next = std::max(from, next());
    for (auto it = std::max(from, m_first); it < next(); ++it)
        page.records.push_back(m_records[it.offset() - m_first.offset()]);
    return page;
}

asio::awaitable<void> LogTail::awaitRecord(LogPosition position, std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    if (position < next())
        co_return;
    m_waiters.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_waiters.erase(&timer);
}

} // namespace Gateway
