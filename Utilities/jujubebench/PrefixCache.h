#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>

namespace Bench {

/// What a cache did with one block.
enum class CacheChange {
    Stored,
    Evicted,
};

/// An engine's prefix cache: block hashes kept by last use, the leaf of a chain evicted before its
/// root.
class PrefixCache
{
public:
    using ChangeHook = std::function<void(CacheChange, std::uint64_t block)>;

    /// Room for the given number of blocks.
    explicit PrefixCache(std::size_t capacity);

    /// Called for every block stored or evicted; not for clear().
    void setChangeHook(ChangeHook hook) { m_changeHook = std::move(hook); }
    /// The number of leading blocks of the chain that are cached, without counting as a use.
    std::size_t match(std::span<const std::uint64_t> chain) const;
    /// Marks the chain as used and stores what is missing, evicting the least recently used.
    void store(std::span<const std::uint64_t> chain);
    /// Forgets everything, as a crash does.
    void clear();

private:
    std::size_t m_capacity;
    ChangeHook m_changeHook;
    // Most recently used first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace Bench
