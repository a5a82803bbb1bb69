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
    unsigned cached = 0;
    for (const auto &part : parts) {
        if (!m_parts.contains(part.prefixHash))
            break;
        cached += part.tokens;
    }
    return cached;
}

void PrefixCacheEstimate::noteUse(std::span<const PromptPart> parts)
{
    // Parts are marked as used from last to first, so that a part is always evicted before the
    // parts that precede it in the prompt.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        const auto known = m_parts.find(it->prefixHash);
        if (known != m_parts.end()) {
            m_usageOrder.splice(m_usageOrder.end(), m_usageOrder, known->second);
            continue;
        }
        m_usageOrder.push_back(*it);
        m_parts[it->prefixHash] = std::prev(m_usageOrder.end());
        m_tokens += it->tokens;
    }
    while (m_tokens > m_capacity && !m_usageOrder.empty()) {
        m_tokens -= m_usageOrder.front().tokens;
        m_parts.erase(m_usageOrder.front().prefixHash);
        m_usageOrder.pop_front();
    }
}

std::vector<PromptPart> PrefixCacheEstimate::newest(std::size_t count) const
{
    const auto skipped = m_usageOrder.size() - std::min(count, m_usageOrder.size());
    return {std::next(m_usageOrder.begin(), static_cast<std::ptrdiff_t>(skipped)),
            m_usageOrder.end()};
}

void PrefixCacheEstimate::clear()
{
    m_usageOrder.clear();
    m_parts.clear();
    m_tokens = 0;
}

} // namespace Gateway
