#include <LibPlatform/EmbeddedLogService.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Platform {

namespace {
// The interval at which a waiting read checks for a new record.
constexpr std::chrono::milliseconds PollPeriod {2};
} // namespace

EmbeddedLogService::EmbeddedLogService(InMemoryLog &log)
    : m_log(log)
{ }

boost::asio::awaitable<LogOffset> EmbeddedLogService::append(std::string stream, std::string data)
{
    co_return m_log.append(stream, std::move(data));
}

boost::asio::awaitable<LogPage> EmbeddedLogService::read(std::string stream, LogOffset from,
                                                         std::size_t limit,
                                                         std::chrono::milliseconds wait)
{
    const auto deadline = std::chrono::steady_clock::now() + wait;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (true) {
        auto page = m_log.read(stream, from, limit);
        if (!page.records.empty() || std::chrono::steady_clock::now() >= deadline)
            co_return page;
        timer.expires_after(PollPeriod);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace Platform
