#include <LibGateway/PrefixCacheEstimate.h>

#include <algorithm>
#include <iterator>

namespace Gateway {

unsigned totalTokens(std::span<const PromptPart> parts)
{
    unsigned total = 0;
    for (const auto &part : parts)
        total += part.tokens;
    return total;
}

unsigned PrefixCacheEstimate::cachedTokens(std::span<const PromptPart> parts) const
{
    unsigned kept = 0;
    for (const auto &part : parts) {
        if (!m_parts.contains(part.prefixHash))
            break;
        kept += part.tokens;
    }
    return kept;
}

void PrefixCacheEstimate::noteUse(std::span<const PromptPart> parts)
{
    // The last parts are touched first, so that a part never outlives one that it builds on.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        const auto known = m_parts.find(it->prefixHash);
        if (known != m_parts.end()) {
            m_order.splice(m_order.end(), m_order, known->second);
            continue;
        }
        m_order.push_back(*it);
        m_parts[it->prefixHash] = std::prev(m_order.end());
        m_tokens += it->tokens;
    }
    while (m_tokens > m_capacity && !m_order.empty()) {
        m_tokens -= m_order.front().tokens;
        m_parts.erase(m_order.front().prefixHash);
        m_order.pop_front();
    }
}

std::vector<PromptPart> PrefixCacheEstimate::newest(std::size_t count) const
{
    const auto left = m_order.size() - std::min(count, m_order.size());
    return {std::next(m_order.begin(), static_cast<std::ptrdiff_t>(left)), m_order.end()};
}

void PrefixCacheEstimate::clear()
{
    m_order.clear();
    m_parts.clear();
    m_tokens = 0;
}

} // namespace Gateway
