#include <LibCapacity/OverheadEstimate.h>

#include <algorithm>
#include <utility>

namespace Capacity {

namespace {

constexpr Milliseconds MaxOverhead {60};
constexpr double BlockSize = 60;
// The smoothing factor of blocks after the first one.
constexpr double BlockGain = 0.3;
// The least standard deviation of the expected times, as a share of their mean. Prompts of nearly
// equal length do not tell the fixed part from the rate.
constexpr double MinSpread = 0.3;
// Longer times include waits that have nothing to do with the prompt.
constexpr double MaxFactor = 4;
constexpr Milliseconds MaxExtra {100};

} // namespace

void OverheadEstimate::addSample(Milliseconds expectedPrefill, Milliseconds actual)
{
    const double x = expectedPrefill.count();
    const double y = actual.count();
    if (x <= 0 || y <= 0 || actual > MaxFactor * expectedPrefill + MaxExtra)
        return;
    m_block.count += 1;
    m_block.expected += x;
    m_block.actual += y;
    m_block.expectedSquares += x * x;
    m_block.products += x * y;
    if (m_block.count < BlockSize)
        return;
    // Each block is fitted by itself, because the expected times of the first one do not yet
    // consider the speeds of the engines.
    apply(std::exchange(m_block, {}));
    m_isReady = true;
}

void OverheadEstimate::apply(const Block &block)
{
    const double expected = block.expected / block.count;
    const double actual = block.actual / block.count;
    const double variance = block.expectedSquares / block.count - expected * expected;
    const double minDeviation = MinSpread * expected;
    if (variance < minDeviation * minDeviation)
        return;
    const double slope = (block.products / block.count - expected * actual) / variance;
    const auto sample =
        std::clamp(Milliseconds(actual - slope * expected), Milliseconds(0), MaxOverhead);
    m_overhead += (m_isMeasured ? BlockGain : 1) * (sample - m_overhead);
    m_isMeasured = true;
}

} // namespace Capacity
