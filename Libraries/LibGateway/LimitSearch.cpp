#include <LibGateway/Gateway.h>
#include <LibGateway/LimitSearch.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A request waits for its sending for this part of its time at most.
constexpr int MaxWaitsPerRemaining = 3;
// With a shorter wait than some sending times, those that fall into a pause of the callers would
// stay unused.
constexpr double MinWaitInRequests = 2;
constexpr auto MinRetryAfter = 100ms;

} // namespace

bool needsPermit(const Gateway &gateway, const Upstream &upstream,
                 const std::optional<RatePermit> &permit)
{
    const auto &notices = upstream.notices();
    if (!gateway.rateLimits() || !notices->requestsPerSecond)
        return false;
    return !permit || permit->notices != notices
           || permit->validUntil < gateway.dependencies().clock.now();
}

void noteLimit(Gateway &gateway, const Upstream &upstream,
               const std::shared_ptr<UpstreamNotices> &notices, const AnswerHead &head)
{
    // Only an answer that is certainly the upstream's shows that there is no limit.
    const bool isCertain = head.requestsPerSecond || head.isSealed || head.isNotRun;
    if (gateway.rateLimits() && isCertain && !head.hasUnreadableLimit)
        gateway.rateLimits()->noteAnswer(upstream, notices, head.requestsPerSecond);
}

LimitSearch::LimitSearch(Gateway &gateway, const AcceptedRequest &request,
                         const std::set<Core::UpstreamId> &excluded)
    : m_gateway(gateway)
    , m_request(request)
    , m_excluded(excluded)
{
    if (gateway.rateLimits())
        m_full = gateway.rateLimits()->full();
}

milliseconds LimitSearch::maxWait(const RequestPlan &plan) const
{
    const auto &dependencies = m_gateway.dependencies();
    const auto now = dependencies.clock.now();
    const auto &members = dependencies.fleet.members(plan.service);
    const bool hasOthers = std::any_of(members.begin(), members.end(), [&](const auto &it) {
        const auto &id = it->report().id;
        return it != plan.upstream && !it->isRemoved() && !it->isLeaving()
               && it->pausedUntil() <= now && !m_full.contains(id) && !m_excluded.contains(id);
    });
    if (hasOthers)
        return 0ms;
    const auto limit = plan.upstream->notices()->requestsPerSecond.value_or(1);
    const std::chrono::duration<double> someRequests(MinWaitInRequests / std::max(limit, 1.0));
    const auto target = m_request.route->target / 2;
    return std::min(std::max(target, duration_cast<milliseconds>(someRequests)),
                    m_request.remainingTime(now) / MaxWaitsPerRemaining);
}

boost::asio::awaitable<std::optional<RatePermit>> LimitSearch::reserve(RequestPlan plan)
{
    auto permit = co_await m_gateway.rateLimits()->reserve(plan.upstream, maxWait(plan));
    if (!permit)
        m_full.insert(plan.upstream->report().id);
    co_return permit;
}

Refusal LimitSearch::refuse(const Refusal &refusal) const
{
    std::set<Core::UpstreamId> missing;
    for (const auto &service : m_request.route->services) {
        for (const auto &member : m_gateway.dependencies().fleet.members(service.service)) {
            if (m_full.contains(member->report().id))
                missing.insert(member->report().id);
        }
    }
    // Other reasons have a time of their own.
    if (missing.empty() || refusal.kind != Core::ErrorKind::NoUpstream)
        return refusal;
    const auto wait =
        std::max<milliseconds>(MinRetryAfter, m_gateway.rateLimits()->untilRoom(missing));
    return {Core::ErrorKind::Overloaded,
            "the upstreams that the request could be sent to limit their requests", wait,
            Capacity::WaitingOutlook {.wait = wait, .excess = wait}};
}

} // namespace Gateway
