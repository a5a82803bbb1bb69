#pragma once

#include <chrono>
#include <cstdint>

namespace Gateway {

/// Estimates the prefill rate of a service's engines from their observed times to the first token.
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
    double tokensPerMillisecond() const { return m_tokensPerMillisecond; }

private:
    // In tokens per millisecond. Low on purpose, so that an instance without samples spreads its
    // requests.
    static constexpr double InitialRate = 50;

    double m_tokensPerMillisecond = InitialRate;
};

} // namespace Gateway
