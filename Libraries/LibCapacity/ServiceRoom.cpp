#include <LibCapacity/ServiceRoom.h>

#include <algorithm>

namespace Capacity {

namespace {

using namespace std::chrono_literals;

// The share of the time that the expected answer may take. The rest covers the variation of the
// answer times, which the mean does not show.
constexpr double ExpectedShare = 0.7;
// The part of the queue that idempotent requests may use, and those that will be late.
constexpr double MinorShare = 0.25;
// The assumed answer time before the first answer, as a part of the target.
constexpr double InitialTargetShare = 0.25;
constexpr Milliseconds MinAnswerTime {0.1};
// Bounds the queue for targets that are much longer than the answers take.
constexpr double MaxQueueRounds = 64;
// The upstream's own queue limit is unknown and may change, so a rejection counts for this long.
constexpr auto RejectionValidity = 5s;
// An earlier return would meet the load that the request was refused for.
constexpr Milliseconds MinReturnTime {50};
// A request that takes longer than this multiple of its expected time, and the margin, no longer
// counts. Ends that were not heard of would otherwise fill the queue until their time is over.
constexpr double MaxCountedFactor = 2;
constexpr Milliseconds MaxCountedMargin {50};
constexpr std::size_t MaxUpstreams = 256;

} // namespace

Milliseconds ServiceRoom::answerTime(std::uint64_t upstream, Milliseconds target) const
{
    const auto it = m_upstreams.find(upstream);
    const auto own = it == m_upstreams.end() ? std::nullopt : it->second.answerTime.mean();
    const auto expected = own ? own : m_all.mean();
    return std::max(MinAnswerTime, expected.value_or(InitialTargetShare * target));
}

std::optional<Monotonic> ServiceRoom::lastAnswer(std::uint64_t upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? std::nullopt : it->second.answerTime.lastAnswer();
}

unsigned ServiceRoom::limit(std::uint64_t upstream, unsigned slots, const RoomRequest &request,
                            Monotonic now) const
{
    const auto usable = std::max(1U, slots);
    const auto own = answerTime(upstream, request.target);
    // No upstream that is as slow as this one answers in time. A single request is still sent,
    // which shows when the upstream is faster again.
    if (own > request.remaining)
        return 1;
    const bool isLate = request.untilLate <= own;
    const auto inTime = isLate ? request.target : request.untilLate;
    const auto available = ExpectedShare * std::min(inTime, request.remaining);
    auto rounds = std::clamp((available - own) / own, 0.0, MaxQueueRounds);
    if (isLate || (!request.isOnce && !request.isReturning))
        rounds *= MinorShare;
    const auto limit = usable + static_cast<unsigned>(rounds * usable);
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || it->second.fullUntil <= now)
        return limit;
    return std::clamp(it->second.fullAt, usable, limit);
}

Milliseconds ServiceRoom::maxCounted(const RoomLoad &load, const RoomRequest &request) const
{
    const auto expected =
        answerTime(load.upstream, request.target) * (1 + roundsUntilSlot(load.ahead, load.slots));
    return std::clamp(MaxCountedFactor * expected + MaxCountedMargin, Milliseconds(0),
                      std::max(Milliseconds(0), request.remaining));
}

Milliseconds ServiceRoom::untilRoom(const RoomLoad &load, const RoomRequest &request, double spread,
                                    Monotonic now) const
{
    const auto usable = std::max(1U, load.slots);
    const auto limit = this->limit(load.upstream, load.slots, request, now);
    // Half of the queue is to be free by then, since other requests arrive in the meantime.
    const auto half = std::max(1U, std::min(limit, usable + (limit - std::min(limit, usable)) / 2));
    const auto excess = load.ahead + 1.0 - std::min(load.ahead + 1, half);
    const auto wait = answerTime(load.upstream, request.target) * (excess / usable);
    return std::max(MinReturnTime, wait) * (1 + std::clamp(spread, 0.0, 1.0));
}

void ServiceRoom::noteAnswer(const RoomLoad &load, Milliseconds elapsed, Monotonic now)
{
    stateOf(load.upstream, now).answerTime.addAnswer(elapsed, load.ahead, load.slots, now);
    m_all.addAnswer(elapsed, load.ahead, load.slots, now);
}

void ServiceRoom::noteRejected(const RoomLoad &load, Monotonic now)
{
    // With a free slot, the cause was not the length of the queue.
    if (load.ahead < load.slots)
        return;
    auto &state = stateOf(load.upstream, now);
    state.fullAt = state.fullUntil > now ? std::min(state.fullAt, load.ahead) : load.ahead;
    state.fullUntil = now + RejectionValidity;
}

ServiceRoom::State &ServiceRoom::stateOf(std::uint64_t upstream, Monotonic now)
{
    // Upstreams that were replaced leave their entries behind.
    if (m_upstreams.size() >= MaxUpstreams && !m_upstreams.contains(upstream))
        m_upstreams.erase(std::min_element(m_upstreams.begin(), m_upstreams.end(),
                                           [](const auto &left, const auto &right) {
                                               return left.second.lastUse < right.second.lastUse;
                                           }));
    auto &state = m_upstreams[upstream];
    state.lastUse = now;
    return state;
}

} // namespace Capacity
