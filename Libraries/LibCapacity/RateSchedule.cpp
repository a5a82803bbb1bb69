#include <LibCapacity/RateSchedule.h>

#include <algorithm>

namespace Capacity {

namespace {

// An upstream with a limit of zero is still tried now and then, to learn that the limit has ended.
constexpr double MinLimit = 0.25;
constexpr Milliseconds MaxInterval {std::chrono::hours(1)};
// Requests arrive at random, so that a schedule without bursts would leave sending times unused.
constexpr Milliseconds MinBurst {100};
// Refused instances ask again within fewer sending times than there were refusals, by this factor,
// so that few of these times are left unused.
constexpr double RefusalsPerInterval = 4;

Milliseconds intervalOf(double perSecond)
{
    constexpr double MillisecondsPerSecond = 1'000;
    return std::min(Milliseconds(MillisecondsPerSecond / perSecond), MaxInterval);
}

} // namespace

RateSchedule::Reservation RateSchedule::reserve(double perSecond, Milliseconds maxWait,
                                                double spread, Monotonic now)
{
    const auto interval = intervalOf(perSecond);
    const auto burst = std::max(interval, MinBurst);
    // Many instances may begin to keep the limit at once, as far as each of them knows.
    auto next = m_next ? Milliseconds(*m_next - now) : burst + spread * interval;
    // What is assigned already takes longer or shorter at another rate.
    if (m_next && next > Milliseconds(0))
        next *= interval / m_interval;
    const auto wait = std::max(Milliseconds(0), next - burst);
    const bool isGranted = wait <= maxWait;
    if (isGranted)
        next = std::max(next, wait) + interval;
    m_interval = interval;
    m_next = now + std::chrono::duration_cast<Monotonic::duration>(next);
    m_refused = isGranted ? 0 : m_refused + 1;
    if (isGranted)
        return {true, wait};
    return {false, wait - maxWait + spread * m_refused / RefusalsPerInterval * interval};
}

double keptRate(double limit, unsigned reachable, unsigned instances)
{
    return std::max(limit, MinLimit) * std::min(reachable, instances) / std::max(1U, instances);
}

} // namespace Capacity
