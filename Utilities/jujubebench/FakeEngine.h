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

/// The speed and size of one fake engine.
struct EngineSettings
{
    std::string name;
    std::size_t dataCentre = 0;
    std::size_t cacheBlocks = 120;
    std::size_t slots = 32;
    double prefillTokensPerSecond = 20000;
    /// Time between two tokens of one request in an otherwise empty batch.
    std::chrono::microseconds tokenInterval {15000};
    /// How much longer the interval is in a full batch, as a share.
    double batchSlowdown = 0.5;
};

/// One request as an engine sees it.
struct EngineRequest
{
    std::uint64_t id = 0;
    /// Chained block hashes, BlockTokens each.
    std::vector<std::uint64_t> blocks;
    /// Prompt tokens after the last whole block, never cached.
    std::uint64_t tailTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Lower runs first.
    int priority = 0;

    std::uint64_t promptTokens() const { return blocks.size() * BlockTokens + tailTokens; }
};

/// What an engine says about its load.
struct EngineLoad
{
    EventQueue::Time measuredAt;
    std::uint64_t incarnation = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    /// Prompt tokens not prefilled yet, as far as the cache does not hold them.
    std::uint64_t pendingPrefillTokens = 0;
};

/// Callbacks of an engine. Unset ones are skipped.
struct EngineHooks
{
    std::function<void(std::uint64_t id, std::uint64_t cachedTokens)> firstToken;
    std::function<void(std::uint64_t id)> finished;
    /// The engine crashed while it held the request.
    std::function<void(std::uint64_t id)> failed;
};

/// A model engine in virtual time: a queue by priority, batch slots, one prefill at a time, decode
/// in parallel, and a prefix cache that a crash empties.
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

    /// Queues a request. Returns false, keeping nothing, when the engine is down.
    bool submit(EngineRequest request);
    /// Takes a queued or running request out. Returns false if the engine does not hold it.
    bool cancel(std::uint64_t id);
    /// Loses every request and the cache, and stays down for the time.
    void crash(EventQueue::Duration downtime);
    /// Runs at this share of its speed from now on (work already started keeps its end).
    void setSpeed(double share) { m_speed = share; }
    /// Prompt tokens that would be prefilled before a new request of the priority.
    std::uint64_t prefillTokensBefore(int priority) const;
    /// The exact present load.
    EngineLoad load() const;

private:
    struct Job
    {
        EngineRequest request;
        bool isDecoding = false;
    };
    using QueueKey = std::pair<int, std::uint64_t>;

    /// Starts the next prefill if a slot and the prefill stage are free.
    void startNext();
    /// Ends the prefill of a request and starts its decode.
    void finishPrefill(std::uint64_t id, std::uint64_t cachedTokens);
    /// Ends a request.
    void finishDecode(std::uint64_t id);
    /// Runs the callback after the delay unless the engine crashes before.
    void scheduleGuarded(EventQueue::Duration delay, std::function<void()> callback);
    /// Prompt tokens left of the prefill under way.
    std::uint64_t prefillTokensLeft() const;
    /// Prompt tokens of the request that the cache does not hold.
    std::uint64_t missedTokens(const EngineRequest &request) const;

    EventQueue &m_queue;
    EngineSettings m_settings;
    EngineHooks m_hooks;
    PrefixCache m_cache;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_arrivals = 0;
    bool m_isUp = true;
    double m_speed = 1;
    // Zero while the prefill stage is free.
    std::uint64_t m_prefilling = 0;
    EventQueue::Time m_prefillEnd {};
    std::map<QueueKey, EngineRequest> m_waiting;
    std::unordered_map<std::uint64_t, Job> m_running;
};

} // namespace Bench
