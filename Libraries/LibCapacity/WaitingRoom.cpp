#include <LibCapacity/WaitingRoom.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Capacity {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::nanoseconds;

namespace {

// The share of the time left that a request may spend in the queue. The rest is for the upstream,
// and for one return of the caller after a refusal.
constexpr double MaxWaitShare = 0.5;
// The answer has to begin within this share of the caller's time, as in the admission of prompts.
constexpr double FirstTokenShare = 0.85;
// Covers the way to the upstream and errors of the expected times.
constexpr auto SendMargin = 50ms;

// Expected times beyond this are not distinguished; they would overflow.
constexpr Milliseconds MaxTime = 1h;

nanoseconds rounded(Milliseconds time)
{
    return duration_cast<nanoseconds>(std::min(time, MaxTime));
}

Monotonic earlier(Monotonic time, Milliseconds by)
{
    return time == Monotonic::max() ? time : time - rounded(by);
}

/// Returns the latest time at which the answer may begin by the deadline.
Monotonic latestByDeadline(const WaitingRequest &request)
{
    if (request.deadline == Monotonic::max())
        return request.deadline;
    const auto total = std::max(nanoseconds(0), nanoseconds(request.deadline - request.arrival));
    return request.arrival + rounded(FirstTokenShare * Milliseconds(total));
}

/// Returns the latest time at which the request may be sent.
Monotonic latestSendOf(const WaitingRequest &request, const WaitingOutlook &outlook)
{
    const auto needed = outlook.ownTime + SendMargin;
    // An upstream is accepted with this wait, whatever time the caller has until it gives up.
    const auto accepted = std::max(Milliseconds(0), outlook.wait - outlook.excess);
    return std::min(earlier(latestByDeadline(request), needed),
                    earlier(request.answerBegins, needed + accepted));
}

/// Returns whether the answer would begin in time if the request were sent to the best upstream
/// now.
bool isServable(const WaitingRequest &request, const WaitingOutlook &outlook, Monotonic now)
{
    const auto latest = std::min(latestByDeadline(request), request.answerBegins);
    const auto needed = outlook.ownTime + SendMargin + outlook.wait;
    return latest == Monotonic::max() || latest - now >= rounded(needed);
}

} // namespace

Monotonic WaitingRoom::Lane::nextLook() const
{
    return isDue || lastLook == Monotonic::min() ? Monotonic::min() : lastLook + LookInterval;
}

std::optional<WaitingRoom::Number> WaitingRoom::enter(WaitingRequest request,
                                                      const WaitingOutlook &outlook, Monotonic now)
{
    const auto latestSend = latestSendOf(request, outlook);
    if (latestSend <= now || !isServable(request, outlook, now))
        return std::nullopt;
    if (request.bytes > m_limits.bytes || m_limits.requests == 0)
        return std::nullopt;
    while (!hasSpaceFor(request.bytes)) {
        const auto displaced = displacedBy(request);
        if (!displaced)
            return std::nullopt;
        leave(*displaced);
        m_displaced.push_back(*displaced);
    }
    auto waitEnds = Monotonic::max();
    if (request.deadline != Monotonic::max())
        waitEnds = now + rounded(MaxWaitShare * Milliseconds(request.deadline - now));
    const auto number = ++m_lastNumber;
    auto &lane = m_lanes[request.lane];
    if (lane.members.empty()) {
        // The request itself was planned just now.
        lane.lastLook = now;
        lane.isDue = false;
    }
    lane.members.push_back(number);
    m_bytes += request.bytes;
    m_requests.emplace(number, Entry {std::move(request), waitEnds, latestSend});
    return number;
}

void WaitingRoom::leave(Number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    const auto lane = m_lanes.find(found->second.request.lane);
    std::erase(lane->second.members, number);
    if (lane->second.planned == number) {
        lane->second.planned.reset();
        // It was probably sent, and there may be capacity for the next one.
        lane->second.isDue = true;
    }
    if (lane->second.members.empty())
        m_lanes.erase(lane);
    m_bytes -= found->second.request.bytes;
    m_requests.erase(found);
}

bool WaitingRoom::noteRefused(Number number, const WaitingOutlook &outlook, Monotonic now)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return false;
    auto &entry = found->second;
    auto &lane = m_lanes.at(entry.request.lane);
    if (lane.planned == number)
        lane.planned.reset();
    lane.lastLook = now;
    entry.latestSend = latestSendOf(entry.request, outlook);
    if (entry.leavesAt() > now && isServable(entry.request, outlook, now))
        return true;
    leave(number);
    return false;
}

void WaitingRoom::noteCapacity()
{
    for (auto &[name, lane] : m_lanes)
        lane.isDue = true;
}

std::optional<WaitingRoom::Number> WaitingRoom::takeNext(Monotonic now)
{
    auto next = m_lanes.upper_bound(m_lastLane);
    for (std::size_t n = 0; n < m_lanes.size(); ++n, ++next) {
        if (next == m_lanes.end())
            next = m_lanes.begin();
        auto &lane = next->second;
        if (lane.planned || lane.nextLook() > now)
            continue;
        m_lastLane = next->first;
        lane.isDue = false;
        lane.lastLook = now;
        lane.planned = firstOf(lane);
        return lane.planned;
    }
    return std::nullopt;
}

std::vector<WaitingRoom::Number> WaitingRoom::takeLeaving(Monotonic now)
{
    auto leaving = std::exchange(m_displaced, {});
    const auto displaced = leaving.size();
    for (const auto &[number, entry] : m_requests)
        if (entry.leavesAt() <= now)
            leaving.push_back(number);
    for (auto n = displaced; n < leaving.size(); ++n)
        leave(leaving[n]);
    return leaving;
}

std::optional<Monotonic> WaitingRoom::nextLook() const
{
    if (!m_displaced.empty())
        return Monotonic::min();
    std::optional<Monotonic> next;
    const auto add = [&next](Monotonic time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[number, entry] : m_requests)
        add(entry.leavesAt());
    for (const auto &[name, lane] : m_lanes)
        if (!lane.planned)
            add(lane.nextLook());
    return next;
}

std::optional<Monotonic> WaitingRoom::leavesAt(Number number) const
{
    const auto found = m_requests.find(number);
    return found == m_requests.end() ? std::nullopt : std::optional(found->second.leavesAt());
}

std::map<std::string, std::size_t> WaitingRoom::sizes() const
{
    std::map<std::string, std::size_t> sizes;
    for (const auto &[name, lane] : m_lanes)
        sizes[name] = lane.members.size();
    return sizes;
}

bool WaitingRoom::precedesByClass(const WaitingRequest &a, const WaitingRequest &b)
{
    const auto rank = [](const WaitingRequest &it) {
        return std::tuple(it.teamUse > 1, !it.isUrgent, !it.isReturning);
    };
    return rank(a) < rank(b);
}

bool WaitingRoom::precedes(Number a, Number b) const
{
    const auto &left = m_requests.at(a).request;
    const auto &right = m_requests.at(b).request;
    if (precedesByClass(left, right) || precedesByClass(right, left))
        return precedesByClass(left, right);
    return std::tuple(left.deadline, a) < std::tuple(right.deadline, b);
}

WaitingRoom::Number WaitingRoom::firstOf(const Lane &lane) const
{
    return *std::min_element(lane.members.begin(), lane.members.end(),
                             [this](auto a, auto b) { return precedes(a, b); });
}

WaitingRoom::Number WaitingRoom::lastOf(const Lane &lane) const
{
    return *std::max_element(lane.members.begin(), lane.members.end(),
                             [this](auto a, auto b) { return precedes(a, b); });
}

bool WaitingRoom::hasSpaceFor(std::size_t bytes) const
{
    return m_requests.size() < m_limits.requests && m_bytes + bytes <= m_limits.bytes;
}

std::optional<WaitingRoom::Number> WaitingRoom::displacedBy(const WaitingRequest &request) const
{
    if (m_lanes.empty())
        return std::nullopt;
    // A route with many waiting requests does not keep others from the queue.
    const auto longest =
        std::max_element(m_lanes.begin(), m_lanes.end(), [](const auto &a, const auto &b) {
            return a.second.members.size() < b.second.members.size();
        });
    const auto own = m_lanes.find(request.lane);
    const auto ownSize = own == m_lanes.end() ? 0 : own->second.members.size();
    if (longest->second.members.size() > ownSize + 1)
        return lastOf(longest->second);
    if (own == m_lanes.end())
        return std::nullopt;
    const auto last = lastOf(own->second);
    return precedesByClass(request, m_requests.at(last).request) ? std::optional(last)
                                                                 : std::nullopt;
}

} // namespace Capacity
