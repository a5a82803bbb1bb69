#include <LibGateway/ExpiryOutages.h>

#include <algorithm>
#include <utility>

namespace Gateway {

using namespace std::chrono_literals;

namespace {

// Sound upstreams register again within about two seconds after an outage ends.
constexpr auto RegistrationTime = 2'300ms;
constexpr int IntervalsToExpiry = 2;

} // namespace

void ExpiryOutages::noteFailure(Core::Clock::Monotonic time)
{
    m_lastFailure = std::max(m_lastFailure, time);
}

void ExpiryOutages::noteAnswer(Core::Clock::Monotonic time,
                               std::chrono::milliseconds reportInterval)
{
    if (time <= m_lastAnswer)
        return;
    const auto previous = std::exchange(m_lastAnswer, time);
    // Without a failure, this instance made no reads, and the store may have been available.
    if (previous == Core::Clock::Monotonic::min() || m_lastFailure < previous)
        return;
    // Upstreams that have not registered again yet miss their next report, too.
    const bool isRepeated = previous < m_registrationEnd;
    if (time - previous >= reportInterval * (isRepeated ? 1 : IntervalsToExpiry))
        m_registrationEnd = time + RegistrationTime;
}

void ExpiryOutages::noteLostEntries(Core::Clock::Monotonic time)
{
    m_registrationEnd = std::max(m_registrationEnd, time + RegistrationTime);
}

} // namespace Gateway
