#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace StandIns {

/// The hashes of a prompt's pieces; each covers all text before it, so that equal hashes mean equal
/// prefixes. The salt keeps teams and weights apart.
std::vector<std::uint64_t> chainPieces(std::string_view prompt, std::size_t pieceBytes,
                                       std::string_view salt);

/// A prefix cache of limited size that drops what was not used for longest.
class EngineCache
{
public:
    struct Event
    {
        std::uint64_t sequence;
        bool stored;
        std::uint64_t hash;
    };

    explicit EngineCache(std::size_t capacity);

    /// Counts the leading pieces that are cached, then stores all of them.
    std::size_t use(const std::vector<std::uint64_t> &pieces);
    void clear();
    std::size_t size() const { return m_order.size(); }
    /// The events from a sequence number on. Every tenth is left out, as lossy streams do.
    std::vector<Event> eventsFrom(std::uint64_t sequence) const;

private:
    void note(bool stored, std::uint64_t hash);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
    std::vector<Event> m_events;
};

} // namespace StandIns
