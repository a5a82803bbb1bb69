#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace StandIns {

/// Returns the hashes of a prompt's blocks. Each covers all preceding text, so that equal hashes
/// mean equal prefixes. The salt separates teams and weights.
std::vector<std::uint64_t> chainBlocks(std::string_view prompt, std::size_t blockBytes,
                                       std::string_view salt);

/// A prefix cache of limited size with least-recently-used eviction.
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

    /// Returns the number of leading blocks that are cached, then stores all blocks.
    std::size_t use(const std::vector<std::uint64_t> &blocks);
    void clear();
    std::size_t size() const { return m_order.size(); }
    /// Returns the events from a sequence number on. Omits every tenth to simulate a lossy stream.
    std::vector<Event> eventsFrom(std::uint64_t sequence) const;

private:
    void note(bool stored, std::uint64_t hash);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::vector<Event> m_events;
};

} // namespace StandIns
