#include <LibGateway/EngineQueue.h>

#include <algorithm>
#include <iterator>

namespace Gateway {

namespace {

// The current prompt and the next one.
constexpr unsigned UnmeasuredAfterOther = 2;
constexpr unsigned UnmeasuredAfterRemoval = 1;

} // namespace

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
    m_currentInFlight = std::max(m_currentInFlight, m_load.inFlight);
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

std::optional<EngineQueue::Prefill> EngineQueue::noteFirstToken(const Key &key,
                                                                Core::Clock::Monotonic now)
{
    const auto it = m_prompts.find(key);
    if (it == m_prompts.end() || it->second.hasFirstToken)
        return std::nullopt;
    std::optional<Prefill> prefill;
    // A note may have overtaken that of the current prompt. The next one then began earlier than
    // assumed.
    if (m_current != key)
        m_unmeasured = UnmeasuredAfterOther;
    else if (m_unmeasured > 0)
        --m_unmeasured;
    else
        prefill = {key, it->second.prompt.tokens, now - m_currentSince, m_currentInFlight};
    stopWaiting(it->second);
    auto &prompt = it->second.prompt;
    prompt.expiry = std::max(prompt.expiry, prompt.runningExpiry);
    updateCurrent(now);
    return prefill;
}

EngineQueue::Prompts::iterator EngineQueue::erase(Prompts::iterator it)
{
    const bool isWaiting = !it->second.hasFirstToken;
    stopWaiting(it->second);
    m_load.memoryTokens -= it->second.prompt.memoryTokens;
    --m_load.inFlight;
    if (m_current == it->first) {
        // The engine may still prefill the prompt.
        if (isWaiting)
            m_unmeasured = std::max(m_unmeasured, UnmeasuredAfterRemoval);
        m_current.reset();
    }
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
        m_currentInFlight = m_load.inFlight;
    }
}

} // namespace Gateway
