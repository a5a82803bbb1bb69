#pragma once

#include <LibCapacity/Time.h>

namespace Capacity {

/// Estimates the speed of one engine from the time that it takes to prefill prompts. A speed of 2
/// prefills a prompt in half of its time at speed 1.
///
/// Answers engines that are permanently slower or faster than others of their service, and those
/// that change their speed at run time. Single odd samples have little effect; a lasting sudden
/// change is followed within some ten samples.
class SpeedEstimate
{
public:
    /// The age from which on an estimate loses weight, and that at which it has none left.
    static constexpr Milliseconds FreshAge {10'000};
    static constexpr Milliseconds MaxAge {60'000};

    /// Adds the prefill of a prompt, which would have taken the reference time at speed 1. The
    /// trust, from 0 to 1, reduces the weight of samples that may be wrong.
    void addSample(Milliseconds reference, Milliseconds actual, double trust, Monotonic now);
    /// Continues from the estimate of another instance.
    void set(double speed, double samples, Monotonic lastSample);

    bool isKnown() const { return m_samples > 0; }
    /// Returns 1 until there are samples.
    double speed() const;
    /// Returns the number of samples behind the estimate, in prompts of full weight.
    double samples() const { return m_samples; }
    Monotonic lastSample() const { return m_lastSample; }
    /// Returns the number of samples, reduced if the last one is old.
    double weight(Monotonic now) const;

private:
    /// Returns whether the sample continues a lasting change.
    bool noteDeviation(double deviation, double weight);

    double m_logSpeed = 0;
    double m_samples = 0;
    Monotonic m_lastSample;
    /// The consecutive samples that deviate much in the same direction, negative if they are
    /// slower, and their weight.
    int m_runLength = 0;
    double m_runWeight = 0;
};

} // namespace Capacity
