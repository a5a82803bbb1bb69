#include <LibCore/EventLog.h>
#include <LibRouter/UsageReporter.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Router {

namespace asio = boost::asio;

namespace {
constexpr std::chrono::milliseconds AppendPollPeriod {5};
}

UsageReporter::UsageReporter(Instance &instance, Platform::LogService &log,
                             std::chrono::milliseconds interval)
    : m_instance(instance)
    , m_log(log)
    , m_interval(interval)
    , m_outbox(instance.settings().instance, instance.settings().incarnation)
{ }

std::string UsageReporter::streamName(const std::string &environment)
{
    return "usage." + environment;
}

asio::awaitable<void> UsageReporter::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        timer.expires_after(m_interval);
        co_await timer.async_wait(asio::use_awaitable);
        if (m_isFinishing)
            co_return;
        m_outbox.add(m_instance.usage().closeInterval(m_instance.configuration().generation));
        bool hasMore = true;
        while (hasMore)
            hasMore = co_await appendOne(false);
    }
}

asio::awaitable<void> UsageReporter::finish()
{
    m_isFinishing = true;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // The outbox allows one batch in flight at a time.
    while (m_isAppending) {
        timer.expires_after(AppendPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_outbox.add(m_instance.usage().closeInterval(m_instance.configuration().generation));
    // A batch whose acknowledgement was lost is sent first, then the last one.
    while (m_outbox.pending() > 0) {
        const bool succeeded = co_await appendOne(true);
        if (!succeeded) {
            Core::logEvent(Core::EventId::UsageLost,
                           {{"records", std::to_string(m_outbox.pending())}});
            co_return;
        }
    }
}

asio::awaitable<bool> UsageReporter::appendOne(bool isLast)
{
    const auto batch = m_outbox.nextBatch(isLast);
    if (!batch)
        co_return false;
    bool succeeded = false;
    m_isAppending = true;
    try {
        co_await m_log.append(streamName(m_instance.settings().environment), *batch);
        m_outbox.noteAppended();
        Core::logEvent(Core::EventId::UsageAppended, {{"bytes", std::to_string(batch->size())}});
        succeeded = true;
    } catch (const Core::Error &) {
        // The same batch is sent again at the next interval; a duplicate counts once.
    } catch (...) {
        m_isAppending = false;
        throw;
    }
    m_isAppending = false;
    co_return succeeded;
}

} // namespace Router
