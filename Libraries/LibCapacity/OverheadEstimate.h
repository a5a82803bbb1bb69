#pragma once

#include <LibCapacity/Time.h>

namespace Capacity {

/// Estimates the fixed time per prompt of a service's engines, which does not depend on the length
/// of the prompt: the network, the first decoding step and the engine's own scheduling.
///
/// Answers the load of short prompts: compared by their whole time, engines that happen to get many
/// of them would look slow. A linear fit of the times of the recent prompts separates the fixed
/// part.
class OverheadEstimate
{
public:
    /// Adds a prompt that took the actual time until its first token, and whose prefill alone was
    /// expected to take the given time.
    void addSample(Milliseconds expectedPrefill, Milliseconds actual);
    /// Returns whether enough prompts were seen for an estimate, or their lengths are too similar
    /// for one.
    bool isReady() const;
    /// Returns the initial estimate until enough prompts of different lengths were seen.
    Milliseconds overhead() const;

private:
    bool isSpread() const;

    double m_count = 0;
    // Sums in milliseconds and their squares, in which older samples count less.
    double m_expected = 0;
    double m_actual = 0;
    double m_expectedSquares = 0;
    double m_products = 0;
};

} // namespace Capacity
