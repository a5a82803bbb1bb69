#pragma once

#include <LibCapacity/Time.h>

#include <optional>

namespace Capacity {

/// Estimates how long an upstream of a plain service takes for a request that has one of its slots.
class AnswerTimeEstimate
{
public:
    /// Adds a complete answer: the time since the request was sent, and the number of requests that
    /// the upstream had then. The time that the request waited for a slot is divided out, so that a
    /// queue does not make the upstream appear slow.
    void addAnswer(Milliseconds elapsed, unsigned ahead, unsigned slots, Monotonic now);

    /// Returns the mean time; empty before the first answer.
    std::optional<Milliseconds> mean() const;
    /// Returns when the last answer was added; empty before the first.
    std::optional<Monotonic> lastAnswer() const { return m_lastAnswer; }

private:
    Milliseconds m_mean {0};
    unsigned m_answers = 0;
    std::optional<Monotonic> m_lastAnswer;
};

/// Returns how many times the upstream's mean answer time a request waits for a slot, with this
/// many requests ahead of it.
double roundsUntilSlot(unsigned ahead, unsigned slots);

} // namespace Capacity
