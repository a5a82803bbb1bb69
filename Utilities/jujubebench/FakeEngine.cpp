#include "FakeEngine.h"

#include <algorithm>
#include <utility>

namespace Bench {

namespace {

EventQueue::Duration seconds(double value)
{
    return std::chrono::duration_cast<EventQueue::Duration>(std::chrono::duration<double>(value));
}

} // namespace

FakeEngine::FakeEngine(EventQueue &queue, EngineSettings settings, EngineHooks hooks)
    : m_queue(queue)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_cache(m_settings.cacheBlocks)
{ }

bool FakeEngine::submit(EngineRequest request)
{
    if (!m_isUp)
        return false;
    const QueueKey key {request.priority, m_arrivals++};
    m_waiting.emplace(key, std::move(request));
    startNext();
    return true;
}

bool FakeEngine::cancel(std::uint64_t id)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [id](const auto &item) { return item.second.id == id; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return true;
    }
    if (m_running.erase(id) == 0)
        return false;
    if (m_prefilling == id)
        m_prefilling = 0;
    startNext();
    return true;
}

void FakeEngine::crash(EventQueue::Duration downtime)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[key, request] : m_waiting)
        lost.push_back(request.id);
    for (const auto &[id, job] : m_running)
        lost.push_back(id);
    std::sort(lost.begin(), lost.end());
    m_waiting.clear();
    m_running.clear();
    m_cache.clear();
    m_prefilling = 0;
    m_isUp = false;
    ++m_incarnation;
    m_queue.schedule(downtime, [this] { m_isUp = true; });
    for (const auto id : lost) {
        if (m_hooks.failed)
            m_hooks.failed(id);
    }
}

EngineLoad FakeEngine::load() const
{
    EngineLoad load {m_queue.now(), m_incarnation, m_running.size(), m_waiting.size(), 0};
    for (const auto &[key, request] : m_waiting)
        load.pendingPrefillTokens += missedTokens(request);
    load.pendingPrefillTokens += prefillTokensLeft();
    return load;
}

std::uint64_t FakeEngine::prefillTokensBefore(int priority) const
{
    auto tokens = prefillTokensLeft();
    for (const auto &[key, request] : m_waiting) {
        if (key.first > priority)
            break;
        tokens += missedTokens(request);
    }
    return tokens;
}

std::uint64_t FakeEngine::prefillTokensLeft() const
{
    if (m_prefilling == 0 || m_prefillEnd <= m_queue.now())
        return 0;
    const std::chrono::duration<double> left = m_prefillEnd - m_queue.now();
    return static_cast<std::uint64_t>(left.count() * m_settings.prefillTokensPerSecond * m_speed);
}

void FakeEngine::startNext()
{
    if (m_prefilling != 0 || m_waiting.empty() || m_running.size() >= m_settings.slots)
        return;
    auto request = std::move(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
    const auto id = request.id;
    const auto missed = missedTokens(request);
    const auto cached = request.promptTokens() - missed;
    const auto time =
        seconds(static_cast<double>(missed) / (m_settings.prefillTokensPerSecond * m_speed));
    m_prefilling = id;
    m_prefillEnd = m_queue.now() + time;
    m_running.emplace(id, Job {std::move(request)});
    scheduleGuarded(time, [this, id, cached] { finishPrefill(id, cached); });
}

void FakeEngine::finishPrefill(std::uint64_t id, std::uint64_t cachedTokens)
{
    const auto it = m_running.find(id);
    if (it == m_running.end() || m_prefilling != id)
        return;
    m_prefilling = 0;
    it->second.isDecoding = true;
    m_cache.store(it->second.request.blocks);
    const auto fill = static_cast<double>(m_running.size()) / static_cast<double>(m_settings.slots);
    const std::chrono::duration<double> interval = m_settings.tokenInterval;
    const auto time = static_cast<double>(it->second.request.outputTokens) * interval.count()
                      * (1 + m_settings.batchSlowdown * fill) / m_speed;
    scheduleGuarded(seconds(time), [this, id] { finishDecode(id); });
    if (m_hooks.firstToken)
        m_hooks.firstToken(id, cachedTokens);
    startNext();
}

void FakeEngine::finishDecode(std::uint64_t id)
{
    if (m_running.erase(id) == 0)
        return;
    if (m_hooks.finished)
        m_hooks.finished(id);
    startNext();
}

void FakeEngine::scheduleGuarded(EventQueue::Duration delay, std::function<void()> callback)
{
    m_queue.schedule(delay, [this, incarnation = m_incarnation, callback = std::move(callback)] {
        if (incarnation == m_incarnation)
            callback();
    });
}

std::uint64_t FakeEngine::missedTokens(const EngineRequest &request) const
{
    return request.promptTokens() - m_cache.match(request.blocks) * BlockTokens;
}

} // namespace Bench
