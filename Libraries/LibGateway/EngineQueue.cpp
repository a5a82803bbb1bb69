#include <LibGateway/EngineQueue.h>

#include <algorithm>
#include <iterator>

namespace Gateway {

SiblingLoad EngineQueue::load(double tokensPerMillisecond, Core::Clock::Monotonic now) const
{
    auto load = m_load;
    if (!m_current)
        return load;
    const auto &prompt = m_prompts.at(*m_current).prompt;
    const std::chrono::duration<double, std::milli> elapsed = now - m_currentSince;
    const auto done =
        std::min(prompt.tokens,
                 static_cast<std::uint64_t>(std::max(0.0, elapsed.count()) * tokensPerMillisecond));
    load.waitingTokens.all -= done;
    load.waitingTokens.urgent -= prompt.isUrgent ? done : 0;
    return load;
}

void EngineQueue::add(const Key &key, const Prompt &prompt, Core::Clock::Monotonic now)
{
    const auto [it, isNew] = m_prompts.try_emplace(key, Entry {prompt, ++m_lastOrder, false});
    // A repeated datagram.
    if (!isNew)
        return;
    m_load.waitingTokens.all += prompt.tokens;
    m_load.waitingTokens.urgent += prompt.isUrgent ? prompt.tokens : 0;
    m_load.waitingTokens.ordinaryPrompts += prompt.isUrgent ? 0 : 1;
    m_load.memoryTokens += prompt.memoryTokens;
    ++m_load.inFlight;
    updateCurrent(now);
}

void EngineQueue::stopWaiting(Entry &entry)
{
    if (std::exchange(entry.hasFirstToken, true))
        return;
    m_load.waitingTokens.all -= entry.prompt.tokens;
    m_load.waitingTokens.urgent -= entry.prompt.isUrgent ? entry.prompt.tokens : 0;
    m_load.waitingTokens.ordinaryPrompts -= entry.prompt.isUrgent ? 0 : 1;
}

void EngineQueue::noteFirstToken(const Key &key, Core::Clock::Monotonic now)
{
    const auto it = m_prompts.find(key);
    if (it == m_prompts.end())
        return;
    stopWaiting(it->second);
    auto &prompt = it->second.prompt;
    prompt.expiry = std::max(prompt.expiry, prompt.runningExpiry);
    updateCurrent(now);
}

EngineQueue::Prompts::iterator EngineQueue::erase(Prompts::iterator it)
{
    stopWaiting(it->second);
    m_load.memoryTokens -= it->second.prompt.memoryTokens;
    --m_load.inFlight;
    if (m_current == it->first)
        m_current.reset();
    return m_prompts.erase(it);
}

void EngineQueue::remove(const Key &key, Core::Clock::Monotonic now)
{
    const auto it = m_prompts.find(key);
    if (it == m_prompts.end())
        return;
    erase(it);
    updateCurrent(now);
}

void EngineQueue::dropExpired(Core::Clock::Monotonic now)
{
    for (auto it = m_prompts.begin(); it != m_prompts.end();)
        it = it->second.prompt.expiry <= now ? erase(it) : std::next(it);
    updateCurrent(now);
}

void EngineQueue::updateCurrent(Core::Clock::Monotonic now)
{
    if (m_current && !m_prompts.at(*m_current).hasFirstToken)
        return;
    m_current.reset();
    const Entry *first = nullptr;
    for (const auto &[key, entry] : m_prompts) {
        const auto rank = [](const Entry &it) { return std::pair(!it.prompt.isUrgent, it.order); };
        if (entry.hasFirstToken || (first && rank(entry) >= rank(*first)))
            continue;
        first = &entry;
        m_current = key;
        m_currentSince = now;
    }
}

} // namespace Gateway
