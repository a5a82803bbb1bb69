#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace Core {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds RestartPause {100};

asio::awaitable<void> runLoop(std::string name, LoopBody body)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        try {
            co_await body();
            co_return;
        } catch (const std::exception &fault) {
            logUnexpected(name, fault.what());
        }
        timer.expires_after(RestartPause);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace

void spawnLoop(const asio::any_io_executor &executor, std::string name, LoopBody body)
{
    asio::co_spawn(executor, runLoop(std::move(name), std::move(body)), asio::detached);
}

void logUnexpected(std::string_view where, std::string_view what) noexcept
{
    try {
        logEvent(EventId::InternalFault,
                 {{"where", std::string(where)}, {"what", std::string(what)}});
    } catch (const std::exception &) {
        // Without memory for a line, nothing can be reported.
    }
}

} // namespace Core
