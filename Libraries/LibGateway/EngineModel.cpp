#include <LibGateway/EngineModel.h>

#include <algorithm>

namespace Gateway {

namespace {

// The way there and back and the first step of decoding.
constexpr EngineModel::Milliseconds Overhead {10};
// Shorter prompts say more about the overhead than about the rate.
constexpr unsigned LeastLearntTokens = 1'500;
constexpr double Gain = 0.05;
constexpr double LeastRate = 1;
constexpr double MostRate = 2'000;

} // namespace

EngineModel::Milliseconds EngineModel::firstToken(std::uint64_t tokensToRead) const
{
    return Overhead + Milliseconds(static_cast<double>(tokensToRead) / m_tokensPerMillisecond);
}

void EngineModel::learn(unsigned tokensRead, Milliseconds firstToken)
{
    const auto reading = firstToken - Overhead;
    if (tokensRead < LeastLearntTokens || reading <= Milliseconds::zero())
        return;
    const double sample = std::clamp(tokensRead / reading.count(), LeastRate, MostRate);
    m_tokensPerMillisecond += Gain * (sample - m_tokensPerMillisecond);
}

} // namespace Gateway
