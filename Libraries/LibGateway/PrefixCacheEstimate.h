#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// A part of a prompt. The prefix hash covers the part, all parts before it and the cache scope, so
/// equal hashes mean the same cached data.
struct PromptPart
{
    std::uint64_t prefixHash = 0;
    unsigned tokens = 0;
};

/// Returns the sum of the parts' tokens.
unsigned totalTokens(std::span<const PromptPart> parts);

/// Estimates the content of a prefix cache with least-recently-used eviction.
class PrefixCacheEstimate
{
public:
    /// Returns the number of tokens in the prompt's leading parts that are estimated to be cached.
    unsigned cachedTokens(std::span<const PromptPart> parts) const;
    /// Records that these parts were prefilled or used, and evicts the least recently used ones
    /// beyond the capacity.
    void noteUse(std::span<const PromptPart> parts);
    /// Sets the capacity of the cache.
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }
    /// Removes all entries, as after a restart or a change of weights.
    void clear();
    std::uint64_t tokens() const { return m_tokens; }
    /// Returns up to this many of the most recently used parts, the latest last.
    std::vector<PromptPart> newest(std::size_t count) const;

private:
    /// Used until the configuration sets the capacity, so that entries from siblings' updates are
    /// not lost before that.
    static constexpr std::uint64_t InitialCapacity = 1'000'000;
    using UsageOrder = std::list<PromptPart>;

    UsageOrder m_usageOrder;
    std::unordered_map<std::uint64_t, UsageOrder::iterator> m_parts;
    std::uint64_t m_capacity = InitialCapacity;
    std::uint64_t m_tokens = 0;
};

} // namespace Gateway
