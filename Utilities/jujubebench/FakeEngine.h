#pragma once

#include "EventQueue.h"
#include "PrefixCache.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bench {

/// Tokens in one cache block.
constexpr std::uint64_t BlockTokens = 2000;

/// Configures the speed and size of one fake engine.
struct EngineSettings
{
    std::string name;
    std::size_t dataCentre = 0;
    std::size_t cacheBlocks = 120;
    std::size_t slots = 32;
    double prefillTokensPerSecond = 20000;
    /// Time between two tokens of one request in an otherwise empty batch.
    std::chrono::microseconds tokenInterval {15000};
    /// Relative increase of the token interval in a full batch.
    double batchSlowdown = 0.5;
};

/// Describes one request as the engine receives it.
struct EngineRequest
{
    std::uint64_t id = 0;
    /// Chained block hashes, BlockTokens each.
    std::vector<std::uint64_t> blocks;
    /// Prompt tokens after the last complete block; never cached.
    std::uint64_t tailTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Lower values run first.
    int priority = 0;

    std::uint64_t promptTokens() const { return blocks.size() * BlockTokens + tailTokens; }
};

/// Describes the load that an engine reports.
struct EngineLoad
{
    EventQueue::Time measuredAt;
    std::uint64_t incarnation = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    /// Prompt tokens that are neither prefilled nor cached.
    std::uint64_t pendingPrefillTokens = 0;
};

/// Callbacks of an engine. Unset callbacks are skipped.
struct EngineHooks
{
    std::function<void(std::uint64_t id, std::uint64_t cachedTokens)> firstToken;
    std::function<void(std::uint64_t id)> finished;
    /// Called when the engine crashes while it holds the request.
    std::function<void(std::uint64_t id)> failed;
};

/// Simulates a model engine in virtual time: a priority queue, batch slots, one prefill at a time,
/// parallel decoding, and a prefix cache that is lost in a crash.
class FakeEngine
{
public:
    FakeEngine(EventQueue &queue, EngineSettings settings, EngineHooks hooks);
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    const EngineSettings &settings() const { return m_settings; }
    std::uint64_t incarnation() const { return m_incarnation; }
    bool isUp() const { return m_isUp; }
    PrefixCache &cache() { return m_cache; }
    const PrefixCache &cache() const { return m_cache; }

    /// Queues a request. Returns false and does not store the request when the engine is down.
    bool submit(EngineRequest request);
    /// Removes a queued or running request. Returns false if the engine does not hold it.
    bool cancel(std::uint64_t id);
    /// Drops every request and the cache, and stays down for the given time.
    void crash(EventQueue::Duration downtime);
    /// Sets the fraction of the full speed at which new work runs. Work already started keeps its
    /// end time.
    void setSpeed(double share) { m_speed = share; }
    /// Returns the prompt tokens that would be prefilled before a new request of the given
    /// priority.
    std::uint64_t prefillTokensBefore(int priority) const;
    /// Returns the exact current load.
    EngineLoad load() const;

private:
    struct Job
    {
        EngineRequest request;
        bool isDecoding = false;
    };
    using QueueKey = std::pair<int, std::uint64_t>;

    /// Starts the next prefill if a slot is free and no prefill is running.
    void startNext();
    /// Ends the prefill of a request and starts its decode.
    void finishPrefill(std::uint64_t id, std::uint64_t cachedTokens);
    /// Ends the decode of a request.
    void finishDecode(std::uint64_t id);
    /// Runs the callback after the delay unless the engine crashes first.
    void scheduleGuarded(EventQueue::Duration delay, std::function<void()> callback);
    /// Returns the remaining prompt tokens of the current prefill.
    std::uint64_t prefillTokensLeft() const;
    /// Returns the prompt tokens of the request that are not cached.
    std::uint64_t missedTokens(const EngineRequest &request) const;

    EventQueue &m_queue;
    EngineSettings m_settings;
    EngineHooks m_hooks;
    PrefixCache m_cache;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_arrivals = 0;
    bool m_isUp = true;
    double m_speed = 1;
    // Id of the request being prefilled; zero when no prefill is running.
    std::uint64_t m_prefilling = 0;
    EventQueue::Time m_prefillEnd {};
    std::map<QueueKey, EngineRequest> m_waiting;
    std::unordered_map<std::uint64_t, Job> m_running;
};

} // namespace Bench
