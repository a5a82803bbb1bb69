#include <LibCapacity/AnswerTimeEstimate.h>

#include <algorithm>

namespace Capacity {

namespace {

// The weight of a new answer once the mean has settled.
constexpr double MinGain = 0.1;
// A single answer that a pause of the network or of this instance delayed must not close the
// upstream for others.
constexpr double MaxSampleFactor = 4;

} // namespace

double roundsUntilSlot(unsigned ahead, unsigned slots)
{
    const auto usable = std::max(1U, slots);
    return ahead < usable ? 0.0 : (ahead - usable + 1.0) / usable;
}

void AnswerTimeEstimate::addAnswer(Milliseconds elapsed, unsigned ahead, unsigned slots,
                                   Monotonic now)
{
    auto sample = std::max(Milliseconds(0), elapsed) / (1 + roundsUntilSlot(ahead, slots));
    if (m_answers > 0)
        sample = std::min(sample, MaxSampleFactor * m_mean);
    ++m_answers;
    m_mean += std::max(MinGain, 1.0 / m_answers) * (sample - m_mean);
    m_lastAnswer = now;
}

std::optional<Milliseconds> AnswerTimeEstimate::mean() const
{
    return m_answers > 0 ? std::optional(m_mean) : std::nullopt;
}

} // namespace Capacity
