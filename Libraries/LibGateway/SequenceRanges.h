#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Gateway {

/// A set of sequence numbers, stored as ranges.
class SequenceRanges
{
public:
    /// When there are more ranges, those with the smallest gap in between become one.
    static constexpr std::size_t MaxRanges = 16;

    void insert(std::uint64_t number);
    bool isEmpty() const { return m_ranges.empty(); }
    bool contains(std::uint64_t number) const;
    /// Returns whether the set has a number from the first to the second one.
    bool hasBetween(std::uint64_t first, std::uint64_t last) const;

private:
    struct Range
    {
        std::uint64_t first = 0;
        std::uint64_t last = 0;
    };

    void join(std::size_t index);

    /// In ascending order; there is a gap between two of them.
    std::vector<Range> m_ranges;
};

} // namespace Gateway
