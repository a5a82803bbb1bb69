#include <LibCore/Hash.h>
#include <LibPlacement/CandidateSet.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Placement {

namespace {

/// Mixes the bits of a key combined with an upstream's seed (the finaliser of splitmix64).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// A fast approximation of the binary logarithm of a positive float that gives the same result on
/// every machine. It is monotonic, so that upstreams of equal weight are ranked by their hash.
float fastLog2(float value)
{
    const auto bits = std::bit_cast<std::uint32_t>(value);
    const auto exponent = static_cast<float>(static_cast<int>(bits >> 23) - 127);
    const auto mantissa = std::bit_cast<float>((bits & 0x7fffffU) | 0x3f800000U);
    return exponent + (mantissa - 1) * (1.3465557F - 0.3465557F * (mantissa - 1));
}

/// Returns a lower bound of all hashes whose logarithm is at least the given value.
std::uint64_t hashLowerBound(float log)
{
    // The error of fastLog2() is smaller than this.
    constexpr float Margin = 0.05F;
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    return static_cast<std::uint64_t>(std::exp2(static_cast<double>(log - Margin)) * HashRange);
}

} // namespace

CandidateSet CandidateSet::create(const UpstreamTable &table, std::span<const UpstreamSlot> slots)
{
    CandidateSet set;
    set.m_slots.assign(slots.begin(), slots.end());
    set.m_positions.resize(MaxUpstreams);
    for (std::size_t i = 0; i < slots.size(); ++i) {
        set.m_positions[slots[i]] = static_cast<std::uint16_t>(i);
        set.m_members.set(slots[i]);
        set.m_seeds.push_back(Core::hash64(table.id(slots[i]).value()));
        set.m_weights.push_back(table.state(slots[i]).weight);
        set.m_maxWeight = std::max(set.m_maxWeight, set.m_weights.back());
    }
    return set;
}

std::size_t
CandidateSet::preferredUpstreams(std::uint64_t key, std::size_t count,
                                 std::span<std::uint16_t, MaxPreferredUpstreams> positions) const
{
    count = std::min({count, MaxPreferredUpstreams, m_slots.size()});
    std::array<float, MaxPreferredUpstreams> scores {};
    std::size_t n = 0;
    // Candidates with a hash below this cannot be among the best even with the largest weight, so
    // most candidates cost only one hash and one comparison.
    std::uint64_t minHash = 0;
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        if (mix(key ^ m_seeds[i]) < minHash)
            continue;
        const auto candidateScore = score(key, i);
        if (n == count && candidateScore <= scores[n - 1])
            continue;
        auto insertAt = n < count ? n++ : n - 1;
        for (; insertAt > 0 && scores[insertAt - 1] < candidateScore; --insertAt) {
            scores[insertAt] = scores[insertAt - 1];
            positions[insertAt] = positions[insertAt - 1];
        }
        scores[insertAt] = candidateScore;
        positions[insertAt] = static_cast<std::uint16_t>(i);
        if (n == count)
            minHash = hashLowerBound(scores[n - 1] * m_maxWeight);
    }
    return n;
}

void CandidateSet::narrow(std::uint64_t key, std::size_t count,
                          std::span<std::uint16_t> positions) const
{
    std::partial_sort(positions.begin(),
                      positions.begin()
                          + static_cast<std::ptrdiff_t>(std::min(count, positions.size())),
                      positions.end(), [&](std::uint16_t left, std::uint16_t right) {
                          const auto first = score(key, left);
                          const auto second = score(key, right);
                          return first != second ? first > second : left < right;
                      });
}

float CandidateSet::score(std::uint64_t key, std::size_t position) const
{
    // Weighted rendezvous hashing: log2(u) / weight, with u distributed uniformly in (0, 1).
    constexpr float Scale = 1.0F / 16777216.0F; // 2^-24
    const auto hash = mix(key ^ m_seeds[position]);
    const auto uniform = (static_cast<float>(hash >> 40) + 0.5F) * Scale;
    return fastLog2(uniform) / m_weights[position];
}

} // namespace Placement
