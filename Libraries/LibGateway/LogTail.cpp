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

void LogTail::restart(std::uint64_t next)
{
    m_records.clear();
    m_bytes = 0;
    m_first = next;
    m_hasBegun = true;
}

void LogTail::extend(std::uint64_t from, const FleetPage &page)
{
    // Records between were read by nobody here, or the page is one that was overtaken.
    if (!m_hasBegun || from > next())
        restart(from);
    const auto before = next();
    for (const auto &record : page.records) {
        if (record.offset != next())
            continue;
        m_bytes += sizeOf(record);
        m_records.push_back(record);
    }
    dropOld();
    m_trouble = std::max(m_trouble, page.trouble);
    if (page.isComplete && page.next >= before)
        m_asOf = std::max(m_asOf, page.asOf);
    if (next() == before)
        return;
    for (auto *timer : m_waiting)
        timer->cancel();
}

void LogTail::dropOld()
{
    while (m_bytes > MostBytes && m_records.size() > 1) {
        m_bytes -= sizeOf(m_records.front());
        m_records.pop_front();
        ++m_first;
    }
}

FleetPage LogTail::page(std::uint64_t from) const
{
    FleetPage page;
    page.asOf = m_asOf;
    page.trouble = m_trouble;
    page.next = std::max(from, next());
    for (auto offset = std::max(from, m_first); offset < next(); ++offset)
        page.records.push_back(m_records[offset - m_first]);
    return page;
}

asio::awaitable<void> LogTail::awaitRecord(std::uint64_t offset, std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    if (offset < next())
        co_return;
    m_waiting.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_waiting.erase(&timer);
}

} // namespace Gateway
