#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

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
    /// Returns how many times longer than the prompts ahead ordinary prompts wait, because urgent
    /// ones arrive after them and precede them.
    double ordinaryWaitFactor() const { return m_ordinaryWaitFactor; }
    /// Records the expected wait of an ordinary prompt, with the factor, and the actual one.
    void addOrdinaryWait(Milliseconds expected, Milliseconds actual);
    /// Records the longest pause between two events of a stream.
    void addPause(Milliseconds longest);
    /// Returns the pause that running streams make while their engine prefills long prompts.
    Milliseconds pauseDuringPrefill() const { return m_pauseDuringPrefill; }
    double tokensPerMillisecond() const { return m_medianRate.value_or(m_tokensPerMillisecond); }
    /// Sets the rate of the median engine, in tokens per millisecond, which replaces the estimate
    /// while the engines of the service are uneven; empty otherwise.
    void setMedianRate(std::optional<double> rate) { m_medianRate = rate; }

private:
    // In tokens per millisecond. Low on purpose, so that an instance without samples spreads its
    // requests.
    static constexpr double InitialRate = 50;
    // High on purpose, so that long prefills and streams are kept apart until the pauses are known.
    static constexpr Milliseconds InitialPause {500};

    double m_tokensPerMillisecond = InitialRate;
    std::optional<double> m_medianRate;
    double m_ordinaryWaitFactor = 1;
    Milliseconds m_pauseDuringPrefill = InitialPause;
};

} // namespace Gateway
