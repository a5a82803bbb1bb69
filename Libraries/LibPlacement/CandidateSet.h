#pragma once

#include <LibPlacement/UpstreamTable.h>

#include <bitset>
#include <span>

namespace Placement {

/// The maximum number of preferred upstreams of a prefix. A prefix that needs more than this has no
/// preferred upstreams: all candidates are treated alike.
constexpr std::size_t MaxPreferredUpstreams = 16;

/// The upstreams that may serve a group's requests. The preferred upstreams of a prefix among them
/// are determined by weighted rendezvous hashing, so that all instances with equal sets choose the
/// same ones. Immutable: a new set is created when upstreams are added, are removed or change their
/// weight.
class CandidateSet
{
public:
    /// Creates a set of the given upstreams. Hashing uses their names, so that instances that
    /// numbered the upstreams differently choose the same preferred upstreams.
    static CandidateSet create(const UpstreamTable &table, std::span<const UpstreamSlot> slots);

    std::size_t size() const { return m_slots.size(); }
    std::span<const UpstreamSlot> slots() const { return m_slots; }
    bool contains(UpstreamSlot slot) const { return m_members.test(slot); }
    /// Returns the index of the slot in slots(). The slot must be a member.
    std::size_t position(UpstreamSlot slot) const { return m_positions[slot]; }
    /// Writes the positions of the `count` preferred upstreams of the key, best first, and returns
    /// their number, which is at most MaxPreferredUpstreams.
    std::size_t preferredUpstreams(std::uint64_t key, std::size_t count,
                                   std::span<std::uint16_t, MaxPreferredUpstreams> positions) const;
    /// Sorts the positions so that the first `count` of them are the best ones for the key, best
    /// first.
    void narrow(std::uint64_t key, std::size_t count, std::span<std::uint16_t> positions) const;

private:
    CandidateSet() = default;
    /// Returns the rendezvous score of a position for the key; the first preferred upstream has the
    /// highest.
    float score(std::uint64_t key, std::size_t position) const;

    std::vector<UpstreamSlot> m_slots;
    std::vector<std::uint16_t> m_positions;
    std::vector<std::uint64_t> m_seeds;
    std::vector<float> m_weights;
    float m_maxWeight = 0;
    std::bitset<MaxUpstreams> m_members;
};

} // namespace Placement
