#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// One part of a prompt. The prefix hash identifies the part together with all before it and with
/// whom it may be shared, so that equal hashes mean equal cached memory.
struct PromptPart
{
    std::uint64_t prefixHash = 0;
    unsigned tokens = 0;
};

/// The tokens of all the parts together.
unsigned totalTokens(std::span<const PromptPart> parts);

/// What one engine is believed to keep, least recently used first to go.
class PrefixCacheEstimate
{
public:
    /// Tokens of the prompt's leading parts that the engine is believed to keep.
    unsigned cachedTokens(std::span<const PromptPart> parts) const;
    /// Notes that the engine read or used these parts, and drops the oldest beyond the capacity.
    void noteUse(std::span<const PromptPart> parts);
    /// Sets how many tokens the engine keeps at most.
    void setCapacity(std::uint64_t tokens) { m_capacity = tokens; }
    /// Forgets everything, as after a restart or new weights.
    void clear();
    std::uint64_t tokens() const { return m_tokens; }
    /// At most this many parts, the most recently used last.
    std::vector<PromptPart> newest(std::size_t count) const;

private:
    /// Until the configuration tells; what siblings say before that is worth keeping.
    static constexpr std::uint64_t InitialCapacity = 1'000'000;
    using UsageOrder = std::list<PromptPart>;

    UsageOrder m_usageOrder;
    std::unordered_map<std::uint64_t, UsageOrder::iterator> m_parts;
    std::uint64_t m_capacity = InitialCapacity;
    std::uint64_t m_tokens = 0;
};

} // namespace Gateway
