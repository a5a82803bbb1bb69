#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/ServerExchange.h>
#include <LibPlatform/EmbeddedLogService.h>

#include <boost/json.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <string>

namespace StandIns {

/// The platform: the log, the lagging instance list and the rate-limited weight store, with faults
/// on command. The protocol is in docs/STAND-INS.md.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(std::chrono::milliseconds retention);

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

private:
    /// A version of the instance list and the time from which it was valid.
    struct ListVersion
    {
        Core::Clock::Monotonic since;
        boost::json::array instances;
    };

    boost::asio::awaitable<void> handleLog(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> append(Http::ServerExchange &exchange, std::string stream);
    boost::asio::awaitable<void> read(Http::ServerExchange &exchange, std::string stream);
    boost::asio::awaitable<void> serveWeights(Http::ServerExchange &exchange);
    boost::json::array laggingList();
    void changeList(const boost::json::object &entry);
    void setFaults(const boost::json::object &faults);

    Core::SystemClock m_clock;
    Platform::InMemoryLog m_log;
    Platform::EmbeddedLogService m_service {m_log};
    std::atomic<bool> m_outage {false};
    std::atomic<bool> m_logOutage {false};
    std::atomic<long long> m_appendDelay {0};
    std::atomic<long long> m_readDelay {0};
    std::atomic<long long> m_loseAppendAnswers {0};
    std::atomic<long long> m_appends {0};
    std::mutex m_mutex;
    std::deque<ListVersion> m_lists;
    std::chrono::milliseconds m_listLag {0};
    bool m_listFrozen = false;
    Core::Clock::Monotonic m_weightStoreFreeAt;
    std::chrono::milliseconds m_weightTime {100};
};

} // namespace StandIns
