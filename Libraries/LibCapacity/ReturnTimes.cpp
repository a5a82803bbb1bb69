#include <LibCapacity/ReturnTimes.h>

#include <algorithm>

namespace Capacity {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr Milliseconds MinReturnTime {100};
// The interval of the spread, as a share of the time before it and as a minimum.
constexpr double SpreadShare = 0.5;
constexpr Milliseconds MinSpread {100};
// More promises than this are not distinguished; the earliest ones are forgotten first.
constexpr std::size_t MaxPromises = 1'024;

} // namespace

milliseconds ReturnTimes::promise(const RefusedRequest &request, double random, Monotonic now)
{
    const Milliseconds limit = Milliseconds(request.remaining) / RemainingShare;
    const auto expected = std::max(MinReturnTime, request.excess + promisedWork(now));
    const auto latest = std::min(limit, expected + std::max(MinSpread, SpreadShare * expected));
    // If capacity is expected too late for the caller, the later half of its time is used.
    const auto earliest = expected < latest ? expected : std::max(MinReturnTime, limit / 2);
    const auto time =
        std::min(limit, earliest + random * std::max(Milliseconds(0), latest - earliest));
    const auto rounded = std::max(0ms, duration_cast<milliseconds>(time));
    if (m_promises.size() == MaxPromises)
        m_promises.erase(m_promises.begin());
    m_promises.emplace(now + rounded, request.work);
    return rounded;
}

Milliseconds ReturnTimes::promisedWork(Monotonic now)
{
    dropLapsed(now);
    Milliseconds work {0};
    for (const auto &[time, part] : m_promises)
        work += part;
    return work;
}

void ReturnTimes::dropLapsed(Monotonic now)
{
    m_promises.erase(m_promises.begin(), m_promises.upper_bound(now));
}

} // namespace Capacity
