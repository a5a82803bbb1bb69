#include <LibCore/EventLog.h>
#include <LibRouter/DirectoryWatcher.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Router {

namespace asio = boost::asio;

DirectoryWatcher::DirectoryWatcher(Instance &instance, Platform::InstanceDirectory &platform,
                                   ListHook listRead)
    : m_instance(instance)
    , m_platform(platform)
    , m_listRead(std::move(listRead))
{ }

asio::awaitable<void> DirectoryWatcher::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        co_await readOnce();
        timer.expires_after(m_instance.settings().directoryPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> DirectoryWatcher::readOnce()
{
    try {
        const auto list = co_await m_platform.list();
        m_instance.directory().apply(list);
        m_instance.refreshSlots();
        if (m_listRead)
            m_listRead(list);
        if (!m_isPlatformAvailable)
            Core::logEvent(Core::EventId::PlatformBack);
        m_isPlatformAvailable = true;
    } catch (const Core::Error &error) {
        if (m_isPlatformAvailable)
            Core::logEvent(Core::EventId::PlatformUnavailable, {{"error", error.what()}});
        m_isPlatformAvailable = false;
    }
}

} // namespace Router
