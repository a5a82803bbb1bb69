#include <LibAdmission/DelayEstimate.h>

#include <algorithm>
#include <utility>

namespace Admission {

namespace {
/// Weight of a new sample in the moving averages.
constexpr double Gain = 0.05;
/// Factor applied to the averages at each call to decay() without a new sample.
constexpr double DecayFactor = 0.95;
/// The margin of the estimate, as a multiple of the spread.
constexpr double MarginSpreads = 2;
} // namespace

void DelayEstimate::addSample(std::chrono::duration<double> delay)
{
    const auto difference = delay - m_mean;
    m_mean += Gain * difference;
    m_spread += Gain * (std::chrono::abs(difference) - m_spread);
    m_hasNewSample = true;
}

void DelayEstimate::decay()
{
    if (std::exchange(m_hasNewSample, false))
        return;
    m_mean *= DecayFactor;
    m_spread *= DecayFactor;
}

std::chrono::microseconds DelayEstimate::withMargin() const
{
    const auto delay = std::max(m_mean + MarginSpreads * m_spread, m_mean * 0);
    return std::chrono::duration_cast<std::chrono::microseconds>(delay);
}

} // namespace Admission
