#pragma once

#include <chrono>
#include <cstdint>

namespace Gateway {

/// Estimates the prefill rate of a service's engines from their observed times to the first token,
/// and how long prefill interrupts the streams that run beside it.
class EngineModel
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Returns the expected time to prefill this many tokens.
    Milliseconds prefillTime(std::uint64_t tokens) const;
    /// Returns the expected time to the first token of a prompt if the engine has this many tokens
    /// to prefill, those of the prompt included.
    Milliseconds firstToken(std::uint64_t tokensToPrefill) const;
    /// Updates the rate from an answer whose prompt did not compete with others at its engine.
    void addSample(unsigned prefilledTokens, Milliseconds firstToken);
    /// Records the longest pause between two events of a stream.
    void addPause(Milliseconds longest);
    /// Returns the pause that running streams make while their engine prefills long prompts.
    Milliseconds pauseDuringPrefill() const { return m_pauseDuringPrefill; }
    double tokensPerMillisecond() const { return m_tokensPerMillisecond; }

private:
    // In tokens per millisecond. Low on purpose, so that an instance without samples spreads its
    // requests.
    static constexpr double InitialRate = 50;

    double m_tokensPerMillisecond = InitialRate;
    Milliseconds m_pauseDuringPrefill {0};
};

} // namespace Gateway
