#pragma once

#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <LibPlatform/InMemoryLog.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <string>
#include <utility>
#include <vector>

/// A log service with injected failures. Each call yields a random number of times, so that the
/// interleaving of callers depends on the seed.
class FakeLogService final : public Platform::LogService
{
public:
    FakeLogService(Platform::InMemoryLog &log, Core::ManualClock &clock, std::uint64_t seed)
        : m_log(log)
        , m_clock(clock)
        , m_random(seed)
    { }

    /// Reads and appends fail, and no append takes effect.
    bool isUnavailable = false;
    /// The percentage of appends that take effect but fail.
    unsigned lostAnswerPercent = 0;
    /// The percentage of appends that fail and take effect at releaseDelayedAppends().
    unsigned delayedAppendPercent = 0;

    boost::asio::awaitable<Platform::LogOffset> append(std::string stream,
                                                       std::string data) override
    {
        co_await interleave();
        requireAvailable();
        if (m_random() % 100 < delayedAppendPercent) {
            m_delayedAppends.emplace_back(std::move(stream), std::move(data));
            throw unavailable();
        }
        const auto offset = m_log.append(stream, std::move(data));
        if (m_random() % 100 < lostAnswerPercent)
            throw unavailable();
        co_return offset;
    }

    boost::asio::awaitable<Platform::LogPage> read(std::string stream, Platform::LogOffset from,
                                                   std::size_t limit,
                                                   std::chrono::milliseconds) override
    {
        co_await interleave();
        requireAvailable();
        co_return m_log.read(stream, from, limit);
    }

    void releaseDelayedAppends()
    {
        for (auto &[stream, data] : std::exchange(m_delayedAppends, {}))
            m_log.append(stream, std::move(data));
    }

private:
    static Core::Error unavailable()
    {
        return Core::Error(Core::ErrorKind::PlatformUnavailable, "failure injected by the test");
    }
    void requireAvailable() const
    {
        if (isUnavailable)
            throw unavailable();
    }
    boost::asio::awaitable<void> interleave()
    {
        m_clock.advance(std::chrono::milliseconds(1));
        for (auto n = m_random() % 8; n > 0; --n)
            co_await boost::asio::post(boost::asio::use_awaitable);
    }

    Platform::InMemoryLog &m_log;
    Core::ManualClock &m_clock;
    std::mt19937_64 m_random;
    std::vector<std::pair<std::string, std::string>> m_delayedAppends;
};
