#include <LibGateway/SequenceRanges.h>

#include <algorithm>

namespace Gateway {

void SequenceRanges::insert(std::uint64_t number)
{
    if (contains(number))
        return;
    const auto next = std::find_if(m_ranges.begin(), m_ranges.end(),
                                   [&](const auto &range) { return range.first > number; });
    const auto index = static_cast<std::size_t>(next - m_ranges.begin());
    m_ranges.insert(next, {number, number});
    const auto isAdjacent = [this](std::size_t it) {
        return it + 1 < m_ranges.size() && m_ranges[it].last + 1 == m_ranges[it + 1].first;
    };
    if (isAdjacent(index))
        join(index);
    if (index > 0 && isAdjacent(index - 1))
        join(index - 1);
    if (m_ranges.size() <= MaxRanges)
        return;
    std::size_t smallest = 0;
    const auto gapAfter = [this](std::size_t it) {
        return m_ranges[it + 1].first - m_ranges[it].last;
    };
    for (std::size_t n = 1; n + 1 < m_ranges.size(); ++n) {
        if (gapAfter(n) < gapAfter(smallest))
            smallest = n;
    }
    join(smallest);
}

bool SequenceRanges::contains(std::uint64_t number) const
{
    return hasBetween(number, number);
}

bool SequenceRanges::hasBetween(std::uint64_t first, std::uint64_t last) const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(), [&](const auto &range) {
        return range.first <= last && first <= range.last;
    });
}

void SequenceRanges::join(std::size_t index)
{
    m_ranges[index].last = m_ranges[index + 1].last;
    m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1);
}

} // namespace Gateway
