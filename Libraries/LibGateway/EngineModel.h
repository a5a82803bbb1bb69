#pragma once

#include <chrono>
#include <cstdint>

namespace Gateway {

/// How fast the engines of one service read prompts, learnt from their answers.
class EngineModel
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// The expected time to the first token of a prompt when the engine has this many tokens to
    /// read, its own included.
    Milliseconds firstToken(std::uint64_t tokensToPrefill) const;
    /// Learns from an answer whose prompt met no other at its engine.
    void addSample(unsigned prefilledTokens, Milliseconds firstToken);
    double tokensPerMillisecond() const { return m_tokensPerMillisecond; }

private:
    // Until the first answers: a slow engine, so that a cold instance spreads its requests.
    static constexpr double InitialRate = 50;

    double m_tokensPerMillisecond = InitialRate;
};

} // namespace Gateway
