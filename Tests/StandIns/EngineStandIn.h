#pragma once

#include <LibHttp/ServerExchange.h>

#include <StandIns/EngineCache.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace StandIns {

/// The capabilities and the speed of the engine stand-in.
struct EngineSettings
{
    std::size_t slots = 8;
    std::size_t cacheBlocks = 1000;
    std::size_t blockBytes = 8000;
    std::chrono::microseconds prefillPerKilobyte {50};
    std::chrono::microseconds decodePerToken {1000};
    std::chrono::milliseconds loadTime {200};
    std::chrono::milliseconds reportLag {50};
    std::string weightsVersion = "1";
    /// Whether an order with a stale fencing token is refused.
    bool checksFencing = false;
    /// A prompt that contains this text crashes the engine; empty for none.
    std::string poisonMarker;
};

/// A model engine: continuous batching over a prefix cache, priorities, resume, cancellation,
/// lagging reports, orders, and faults on command. Runs on one thread, so it needs no lock.
class EngineStandIn
{
public:
    explicit EngineStandIn(EngineSettings settings);

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

private:
    struct Job
    {
        std::string id;
        std::string text;
        bool chat = false;
        bool stream = false;
        std::size_t maxTokens = 16;
        std::size_t resumeFrom = 0;
        std::size_t promptTokens = 0;
        std::size_t cachedTokens = 0;
        std::uint64_t epoch = 0;
    };

    boost::asio::awaitable<void> complete(Http::ServerExchange &exchange, bool chat);
    boost::asio::awaitable<void> runJob(Http::ServerExchange &exchange, Job job);
    boost::asio::awaitable<void> takeSlot(long long priority);
    void releaseSlot();
    boost::asio::awaitable<void> pause(std::chrono::microseconds time, const Job &job) const;
    boost::asio::awaitable<void> order(Http::ServerExchange &exchange);
    void control(const boost::json::object &faults);
    void crash();
    boost::json::object loadReport();
    boost::json::object eventsReport(std::uint64_t from) const;
    static std::string token(const Job &job, std::size_t index);
    static boost::json::object chunk(const Job &job, std::size_t index, const std::string &text);

    EngineSettings m_settings;
    EngineCache m_cache;
    std::size_t m_running = 0;
    /// Waiting requests, the most urgent first, in order of arrival within a priority.
    std::multimap<long long, std::shared_ptr<boost::asio::steady_timer>> m_waiting;
    std::uint64_t m_incarnation;
    std::uint64_t m_fencing = 0;
    std::size_t m_loading = 0;
    std::size_t m_maxLoading = 0;
    bool m_frozen = false;
    bool m_draining = false;
    std::size_t m_crashes = 0;
    std::size_t m_cancelled = 0;
    std::size_t m_served = 0;
    std::size_t m_tokens = 0;
    std::size_t m_cutAfterTokens = 0;
    bool m_crossAnswers = false;
    boost::json::object m_lastReport;
    std::chrono::steady_clock::time_point m_lastReportAt;
};

} // namespace StandIns
