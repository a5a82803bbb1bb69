#include <LibCapacity/OverheadEstimate.h>

#include <algorithm>

namespace Capacity {

namespace {

// As in Gateway::EngineModel.
constexpr Milliseconds InitialOverhead {10};
constexpr Milliseconds MaxOverhead {60};
// The fit covers about this many recent samples.
constexpr double Window = 200;
constexpr double MinCount = 100;
// Without prompts of different lengths among so many, the initial estimate applies.
constexpr double MaxCount = 170;
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
    constexpr double Keep = 1 - 1 / Window;
    m_count = Keep * m_count + 1;
    m_expected = Keep * m_expected + x;
    m_actual = Keep * m_actual + y;
    m_expectedSquares = Keep * m_expectedSquares + x * x;
    m_products = Keep * m_products + x * y;
}

bool OverheadEstimate::isSpread() const
{
    const double mean = m_expected / m_count;
    const double variance = m_expectedSquares / m_count - mean * mean;
    return variance >= MinSpread * mean * MinSpread * mean;
}

bool OverheadEstimate::isReady() const
{
    return m_count >= MaxCount || (m_count >= MinCount && isSpread());
}

Milliseconds OverheadEstimate::overhead() const
{
    if (m_count < MinCount || !isSpread())
        return InitialOverhead;
    const double meanExpected = m_expected / m_count;
    const double meanActual = m_actual / m_count;
    const double variance = m_expectedSquares / m_count - meanExpected * meanExpected;
    const double slope = (m_products / m_count - meanExpected * meanActual) / variance;
    return std::clamp(Milliseconds(meanActual - slope * meanExpected), Milliseconds(0),
                      MaxOverhead);
}

} // namespace Capacity
