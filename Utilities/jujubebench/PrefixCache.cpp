#include "PrefixCache.h"

namespace Bench {

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{ }

std::size_t PrefixCache::match(std::span<const std::uint64_t> chain) const
{
    std::size_t n = 0;
    while (n < chain.size() && m_positions.contains(chain[n]))
        ++n;
    return n;
}

void PrefixCache::store(std::span<const std::uint64_t> chain)
{
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        const auto place = m_positions.find(*it);
        if (place != m_positions.end()) {
            m_order.splice(m_order.begin(), m_order, place->second);
            continue;
        }
        m_order.push_front(*it);
        m_positions.emplace(*it, m_order.begin());
        if (m_changeHook)
            m_changeHook(CacheChange::Stored, *it);
    }
    while (m_positions.size() > m_capacity) {
        const auto victim = m_order.back();
        m_order.pop_back();
        m_positions.erase(victim);
        if (m_changeHook)
            m_changeHook(CacheChange::Evicted, victim);
    }
}

void PrefixCache::clear()
{
    m_order.clear();
    m_positions.clear();
}

} // namespace Bench
