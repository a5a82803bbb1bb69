#include <LibAdmission/DelayEstimate.h>

#include <algorithm>
#include <utility>

namespace Admission {

namespace {
constexpr double Gain = 0.05;
constexpr double Kept = 0.95;
constexpr double SpreadsOfMargin = 2;
} // namespace

void DelayEstimate::note(std::chrono::duration<double> delay)
{
    const auto difference = delay - m_mean;
    m_mean += Gain * difference;
    m_spread += Gain * (std::chrono::abs(difference) - m_spread);
    m_isFresh = true;
}

void DelayEstimate::fade()
{
    if (std::exchange(m_isFresh, false))
        return;
    m_mean *= Kept;
    m_spread *= Kept;
}

std::chrono::microseconds DelayEstimate::withMargin() const
{
    const auto delay = std::max(m_mean + SpreadsOfMargin * m_spread, m_mean * 0);
    return std::chrono::duration_cast<std::chrono::microseconds>(delay);
}

} // namespace Admission
