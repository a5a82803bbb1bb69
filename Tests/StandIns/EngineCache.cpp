#include <LibCore/Hash.h>

#include <StandIns/EngineCache.h>

namespace StandIns {

namespace {
constexpr std::size_t MaxEvents = 10'000;
constexpr std::uint64_t LostEventPeriod = 10;
} // namespace

std::vector<std::uint64_t> chainBlocks(std::string_view prompt, std::size_t blockBytes,
                                       std::string_view salt)
{
    std::vector<std::uint64_t> blocks;
    auto seed = Core::hash64(salt);
    for (; prompt.size() >= blockBytes; prompt.remove_prefix(blockBytes)) {
        seed = Core::hash64(prompt.substr(0, blockBytes), seed);
        blocks.push_back(seed);
    }
    return blocks;
}

EngineCache::EngineCache(std::size_t capacity)
    : m_capacity(capacity)
{ }

std::size_t EngineCache::use(const std::vector<std::uint64_t> &blocks)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_positions.contains(blocks[hits]))
        ++hits;
    for (const auto hash : blocks) {
        if (const auto found = m_positions.find(hash); found != m_positions.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(hash);
        m_positions[hash] = m_order.begin();
        note(true, hash);
    }
    while (m_order.size() > m_capacity) {
        note(false, m_order.back());
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
    return hits;
}

void EngineCache::clear()
{
    m_order.clear();
    m_positions.clear();
    m_events.clear();
}

std::vector<EngineCache::Event> EngineCache::eventsFrom(std::uint64_t sequence) const
{
    std::vector<Event> events;
    for (const auto &event : m_events) {
        if (event.sequence >= sequence && event.sequence % LostEventPeriod != 0)
            events.push_back(event);
    }
    return events;
}

void EngineCache::note(bool stored, std::uint64_t hash)
{
    const auto sequence = m_events.empty() ? 1 : m_events.back().sequence + 1;
    m_events.push_back({sequence, stored, hash});
    if (m_events.size() > MaxEvents)
        m_events.erase(m_events.begin(), m_events.begin() + MaxEvents / 2);
}

} // namespace StandIns
