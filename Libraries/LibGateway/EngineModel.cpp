#include <LibGateway/EngineModel.h>

#include <algorithm>

namespace Gateway {

namespace {

// The network round trip and the first decoding step.
constexpr EngineModel::Milliseconds Overhead {10};
// The time of shorter prompts is dominated by the overhead, so it says little about the rate.
constexpr unsigned MinSampleTokens = 1'500;
// Most samples include work that this instance does not know of, so the rate rises faster than it
// falls.
constexpr double RisingGain = 0.2;
constexpr double FallingGain = 0.02;
// Most streams run beside no long prefill, so the estimate follows the longer pauses.
constexpr double RisingPauseGain = 0.1;
constexpr double FallingPauseGain = 0.01;
// Shorter waits say little about the load.
constexpr EngineModel::Milliseconds MinWaitSample {30};
constexpr double WaitGain = 0.05;
constexpr double MaxWaitRatio = 4;
constexpr double MaxWaitFactor = 5;
constexpr double MinRate = 1;
constexpr double MaxRate = 2'000;

} // namespace

EngineModel::Milliseconds EngineModel::prefillTime(std::uint64_t tokens) const
{
    return Milliseconds(static_cast<double>(tokens) / tokensPerMillisecond());
}

EngineModel::Milliseconds EngineModel::firstToken(std::uint64_t tokensToPrefill) const
{
    return Overhead + prefillTime(tokensToPrefill);
}

void EngineModel::addSample(unsigned prefilledTokens, Milliseconds firstToken)
{
    const auto prefillTime = firstToken - Overhead;
    if (prefilledTokens < MinSampleTokens || prefillTime <= Milliseconds::zero())
        return;
    const double sample = std::clamp(prefilledTokens / prefillTime.count(), MinRate, MaxRate);
    const double gain = sample > m_tokensPerMillisecond ? RisingGain : FallingGain;
    m_tokensPerMillisecond += gain * (sample - m_tokensPerMillisecond);
}

void EngineModel::addOrdinaryWait(Milliseconds expected, Milliseconds actual)
{
    if (expected < MinWaitSample)
        return;
    const double ratio = std::clamp(actual / expected, 0.0, MaxWaitRatio);
    m_ordinaryWaitFactor =
        std::clamp(m_ordinaryWaitFactor * (1 + WaitGain * (ratio - 1)), 1.0, MaxWaitFactor);
}

void EngineModel::addPause(Milliseconds longest)
{
    const double gain = longest > m_pauseDuringPrefill ? RisingPauseGain : FallingPauseGain;
    m_pauseDuringPrefill += gain * (longest - m_pauseDuringPrefill);
}

} // namespace Gateway
