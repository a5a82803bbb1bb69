#pragma once

#include <chrono>

namespace Admission {

/// How much later than expected first tokens come, and how much that varies, as moving averages.
class DelayEstimate
{
public:
    /// One first token came this much after it was expected; negative when it came before.
    void addSample(std::chrono::duration<double> delay);
    /// Lets the estimate fade unless something was noted since the last call, so that work which
    /// is refused altogether is tried again. Call at a steady pace.
    void decay();
    /// The mean and a margin for the spread; never negative.
    std::chrono::microseconds withMargin() const;

private:
    std::chrono::duration<double> m_mean {0};
    std::chrono::duration<double> m_spread {0};
    bool m_hasNewSample = false;
};

} // namespace Admission
