#pragma once

#include <LibPlacement/UpstreamTable.h>

#include <bitset>
#include <span>

namespace Placement {

/// Preferred upstreams of a prefix that are looked at; a wider prefix counts every candidate as
/// one.
constexpr std::size_t MaxPreferredUpstreams = 16;

/// The upstreams that may serve a group's requests, and the preferred upstreams of
/// prefixes among them by weighted rendezvous hashing. Immutable; equal sets give equal preferred
/// upstreams on every instance. Made anew when upstreams come, leave or change their weight.
class CandidateSet
{
public:
    /// Upstreams by name, so that instances that numbered them differently still agree.
    static CandidateSet create(const UpstreamTable &table, std::span<const UpstreamSlot> slots);

    std::size_t size() const { return m_slots.size(); }
    std::span<const UpstreamSlot> slots() const { return m_slots; }
    bool contains(UpstreamSlot slot) const { return m_members.test(slot); }
    /// Position in slots(). The slot must be a member.
    std::size_t position(UpstreamSlot slot) const { return m_positions[slot]; }
    /// Writes the positions of the key's `count` best preferred upstreams, best first, and returns
    /// how many there are. At most MaxPreferredUpstreams.
    std::size_t preferredUpstreams(std::uint64_t key, std::size_t count,
                                   std::span<std::uint16_t, MaxPreferredUpstreams> positions) const;
    /// Keeps the key's `count` best preferred upstreams among the positions, best first.
    void narrow(std::uint64_t key, std::size_t count, std::span<std::uint16_t> positions) const;

private:
    CandidateSet() = default;
    /// The rank of a position for the key; the highest is the first preferred upstream.
    float score(std::uint64_t key, std::size_t position) const;

    std::vector<UpstreamSlot> m_slots;
    std::vector<std::uint16_t> m_positions;
    std::vector<std::uint64_t> m_seeds;
    std::vector<float> m_weights;
    float m_maxWeight = 0;
    std::bitset<MaxUpstreams> m_members;
};

} // namespace Placement
