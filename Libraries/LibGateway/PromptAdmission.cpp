#include <LibGateway/PromptAdmission.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

using Milliseconds = EngineModel::Milliseconds;

// The maximum wait as a multiple of the target. Callers cancel a stream after four targets without
// a first event.
constexpr double MaxUrgentWaitTargets = 4;
// A longer queue of less urgent prompts does not increase throughput, and delays urgent ones.
constexpr double MaxWaitTargets = 0.5;
constexpr double ReturningFactor = 2;
// The share of the remaining time that may pass until the first token.
constexpr double FirstTokenShare = 0.85;
constexpr auto MinRetryAfter = 100ms;
// A caller with less than this share of the full time has returned. Clocks and queues on the way
// take a few percent.
constexpr double FullTimeShare = 0.95;
constexpr double FullTimeDecay = 0.999;

} // namespace

std::optional<PromptRefusal> refusePrompt(const PromptOutlook &outlook)
{
    const auto firstTokenLimit = FirstTokenShare * Milliseconds(outlook.remaining);
    // No engine could serve the prompt in time.
    if (outlook.ownTime > firstTokenLimit)
        return PromptRefusal {};
    auto waitLimit =
        (outlook.isUrgent ? MaxUrgentWaitTargets : MaxWaitTargets) * Milliseconds(outlook.target);
    if (outlook.isReturning)
        waitLimit *= ReturningFactor;
    waitLimit = std::min(waitLimit, firstTokenLimit - outlook.ownTime);
    if (outlook.wait <= waitLimit)
        return std::nullopt;
    const auto excess = duration_cast<milliseconds>(outlook.wait - waitLimit);
    return PromptRefusal {std::max<milliseconds>(MinRetryAfter, excess)};
}

bool ReturningCallers::noteArrival(milliseconds callerTime)
{
    const bool isReturning = callerTime < FullTimeShare * m_fullTime;
    m_fullTime = std::max<Milliseconds>(FullTimeDecay * m_fullTime, callerTime);
    return isReturning;
}

milliseconds ReturningCallers::timeSpent(milliseconds callerTime) const
{
    return std::max(0ms, duration_cast<milliseconds>(m_fullTime) - callerTime);
}

} // namespace Gateway
