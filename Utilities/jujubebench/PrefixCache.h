#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>

namespace Bench {

/// Kind of a change to one cached block.
enum class CacheChange {
    Stored,
    Evicted,
};

/// Simulates an engine's prefix cache with least-recently-used eviction. The leaf of a chain is
/// evicted before its root.
class PrefixCache
{
public:
    using ChangeHook = std::function<void(CacheChange, std::uint64_t block)>;

    /// The capacity is a number of blocks.
    explicit PrefixCache(std::size_t capacity);

    /// Sets the callback for every stored or evicted block. clear() does not call it.
    void setChangeHook(ChangeHook hook) { m_changeHook = std::move(hook); }
    /// Returns the number of leading blocks of the chain that are cached, without marking them as
    /// used.
    std::size_t match(std::span<const std::uint64_t> chain) const;
    /// Marks the chain as used and stores the missing blocks, evicting the least recently used
    /// ones.
    void store(std::span<const std::uint64_t> chain);
    /// Removes all blocks, as a crash does.
    void clear();

private:
    std::size_t m_capacity;
    ChangeHook m_changeHook;
    // Most recently used first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace Bench
