#include <LibGateway/PlannedStop.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;

namespace {

// The balancer checks the readiness every second and removes an instance after two failed checks.
constexpr auto BalancerDetectionTime = 2'300ms;
// Requests on connections that the balancer made before that arrive until then.
constexpr auto ArrivalTime = 3'000ms;
// New requests are refused during this last part of the grace period, because they might not finish
// in time.
constexpr auto RefusalLeadTime = 5'000ms;
// The parts of the grace period that are reserved for the last answers and for the exit.
constexpr auto EndMargin = 500ms;
constexpr auto ExitMargin = 200ms;

} // namespace

void PlannedStop::begin(Core::Clock::Monotonic now, std::chrono::milliseconds grace)
{
    m_begin = now;
    m_noticed = now + BalancerDetectionTime;
    m_refusalsBegin = std::max(m_noticed, now + grace - RefusalLeadTime);
    m_arrivalsEnd = std::min(m_refusalsBegin, now + ArrivalTime);
    m_requestsEnd = now + std::max(0ms, grace - EndMargin);
    m_exit = now + std::max(0ms, grace - ExitMargin);
}

bool PlannedStop::refuses(Core::Clock::Monotonic now, std::chrono::milliseconds timeLeft) const
{
    return now >= m_refusalsBegin || mayCut(now, timeLeft);
}

bool PlannedStop::mayCut(Core::Clock::Monotonic now, std::chrono::milliseconds timeLeft) const
{
    return now >= m_requestsEnd || (now >= m_arrivalsEnd && timeLeft > m_requestsEnd - now);
}

} // namespace Gateway
