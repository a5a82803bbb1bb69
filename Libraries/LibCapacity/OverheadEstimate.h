#pragma once

#include <LibCapacity/Time.h>

namespace Capacity {

/// Estimates the fixed time per prompt of a service's engines, which does not depend on the length
/// of the prompt: the network, the first decoding step and the engine's own scheduling.
///
/// Answers the load of short prompts: compared by their whole time, engines that happen to get many
/// of them would look slow. Linear fits of blocks of prompts separate the fixed part.
class OverheadEstimate
{
public:
    /// Adds a prompt that took the actual time until its first token, and whose prefill alone was
    /// expected to take the given time.
    void addSample(Milliseconds expectedPrefill, Milliseconds actual);
    /// Returns whether a block of prompts was seen.
    bool isReady() const { return m_isReady; }
    /// Returns the initial estimate until a block contained prompts of different lengths.
    Milliseconds overhead() const { return m_overhead; }

private:
    /// Sums over the prompts of a block, in milliseconds and their squares.
    struct Block
    {
        double count = 0;
        double expected = 0;
        double actual = 0;
        double expectedSquares = 0;
        double products = 0;
    };
    void apply(const Block &block);

    // As in Gateway::EngineModel.
    Milliseconds m_overhead {10};
    Block m_block;
    bool m_isReady = false;
    bool m_isMeasured = false;
};

} // namespace Capacity
