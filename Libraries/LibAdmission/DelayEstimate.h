#pragma once

#include <chrono>

namespace Admission {

/// Moving averages of the delay of first tokens beyond their estimate and of its mean deviation.
class DelayEstimate
{
public:
    /// Adds the delay of one first token; negative if the token was earlier than estimated.
    void addSample(std::chrono::duration<double> delay);
    /// Reduces the estimate unless a sample was added since the last call, so that a class whose
    /// requests are all refused is eventually tried again. Must be called at regular intervals.
    void decay();
    /// Returns the mean delay plus a margin for its spread; never negative.
    std::chrono::microseconds withMargin() const;

private:
    std::chrono::duration<double> m_mean {0};
    std::chrono::duration<double> m_spread {0};
    bool m_hasNewSample = false;
};

} // namespace Admission
