#include <LibCapacity/SpeedEstimate.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace Capacity {

namespace {

// Prompts with this prefill time have full weight. Engines may be slow for some 600 ms at a time.
// Three samples of full weight take longer than that at 2.5 times their usual time, so that such a
// phase is not taken for a lasting change.
constexpr Milliseconds FullWeightTime {100};
// The times of shorter prompts depend more on the fixed time per prompt than on the speed.
constexpr Milliseconds MinSampleTime {10};
// The smoothing factor during a lasting change.
constexpr double ChangeGain = 0.5;
// A sample that deviates by more than this factor is odd.
constexpr double OddFactor = 1.5;
// A lasting change ends with a sample that deviates by less. At the limit of odd samples, the rest
// of the way would take another twenty.
constexpr double SettledFactor = 1.15;
// So many odd samples in the same direction, and so much weight of them, are a lasting change.
constexpr int ChangeLength = 3;
constexpr double ChangeWeight = 3;
// The estimate is the average of about so many recent samples. With fewer, slow phases alone make
// the engines of a uniform service differ too much.
constexpr double MaxSamples = 20;
// The first samples are averaged without regard to deviations, since the estimate is not better.
constexpr double InitialSamples = 3;
constexpr double MinSpeed = 0.02;
constexpr double MaxSpeed = 50;

} // namespace

double SpeedEstimate::speed() const
{
    return std::exp(m_logSpeed);
}

void SpeedEstimate::set(double speed, double samples, Monotonic lastSample)
{
    m_logSpeed = std::log(std::clamp(speed, MinSpeed, MaxSpeed));
    m_samples = std::clamp(samples, 0.0, MaxSamples);
    m_lastSample = lastSample;
    m_runLength = 0;
    m_runWeight = 0;
}

double SpeedEstimate::weight(Monotonic now) const
{
    const Milliseconds age = now - m_lastSample;
    return m_samples * std::clamp((MaxAge - age) / (MaxAge - FreshAge), 0.0, 1.0);
}

bool SpeedEstimate::noteDeviation(double deviation, double weight)
{
    const int direction = deviation > 0 ? 1 : -1;
    const bool isChanging = std::abs(m_runLength) >= ChangeLength && m_runWeight >= ChangeWeight;
    const bool isOdd = std::abs(deviation) > std::log(isChanging ? SettledFactor : OddFactor);
    if (!isOdd || direction * m_runLength < 0) {
        m_runLength = 0;
        m_runWeight = 0;
    }
    if (!isOdd)
        return false;
    m_runLength += direction;
    m_runWeight += weight;
    return std::abs(m_runLength) >= ChangeLength && m_runWeight >= ChangeWeight;
}

void SpeedEstimate::addSample(Milliseconds reference, Milliseconds actual, double trust,
                              Monotonic now)
{
    const auto usual = isKnown() ? reference / speed() : reference;
    const double weight = std::clamp(trust, 0.0, 1.0) * std::min(1.0, usual / FullWeightTime);
    if (usual < MinSampleTime || weight <= 0)
        return;
    const double ratio = actual > Milliseconds::zero() ? reference / actual : MaxSpeed;
    const double sample = std::log(std::clamp(ratio, MinSpeed, MaxSpeed));
    const double deviation = sample - m_logSpeed;
    const double gain = weight / (m_samples + weight);
    if (m_samples < InitialSamples) {
        m_logSpeed += gain * deviation;
    } else if (noteDeviation(deviation, weight)) {
        m_logSpeed += ChangeGain * weight * deviation;
    } else {
        const double limit = std::log(OddFactor);
        m_logSpeed += gain * std::clamp(deviation, -limit, limit);
    }
    m_samples = std::min(MaxSamples, m_samples + weight);
    m_lastSample = now;
}

} // namespace Capacity
