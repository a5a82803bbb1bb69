#include <LibCore/EventLog.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RoomSearch.h>

#include <algorithm>
#include <random>

namespace Gateway {

using namespace std::chrono_literals;
using Capacity::Milliseconds;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxAsked = 3;
// An upstream that fails more often may also lose answers or run requests that it refuses.
constexpr double MaxFailureShare = 0.3;
// An upstream on probation that no other request has tried by then is tried by one that may run
// once, since it would never be used again otherwise.
constexpr auto MaxAvoidance = 10s;
// The limit on this instance's requests while the keeper does not answer.
constexpr unsigned MinOwnRequests = 2;

std::string text(Milliseconds time)
{
    return std::to_string(duration_cast<milliseconds>(time).count());
}

std::uint64_t hashOf(const Upstream &upstream)
{
    return UpstreamFleet::hashOf(upstream.report().id);
}

Capacity::RoomLoad loadOf(const Upstream &upstream, unsigned ahead)
{
    return {hashOf(upstream), upstream.report().slots, ahead};
}

bool isTrusted(const Upstream &upstream, Core::Clock::Monotonic now)
{
    const bool isAvoided = upstream.isOnProbation() && now < upstream.pausedUntil() + MaxAvoidance;
    return !isAvoided && upstream.failureShare(now) <= MaxFailureShare;
}

} // namespace

bool isRoomLimited(const Gateway &gateway, const AcceptedRequest &request, const Service &service)
{
    if (service.engine || !gateway.engineQueues() || request.route->kind == RequestKind::Stream)
        return false;
    unsigned slots = 0;
    for (const auto &member : gateway.dependencies().fleet.members(service.name))
        slots += member->report().slots;
    return slots < gateway.instanceCount().value_or(0);
}

void limitToRoom(const Gateway &gateway, const AcceptedRequest &request, const Service &service,
                 const std::set<Core::UpstreamId> &full, ChoiceLimits &limits)
{
    limits.maxInFlight = std::max(limits.maxInFlight, service.maxConnections);
    const auto &members = gateway.dependencies().fleet.members(service.name);
    const auto isHealthy = [&limits](const auto &member) {
        return mayReceiveRequests(*member, limits) && isTrusted(*member, limits.now);
    };
    std::set<Core::UpstreamId> avoided = full;
    // A full one is healthy too: rather than at one that may run the request and lose the answer,
    // it is refused.
    if (!request.route->mayRunAgain() && std::any_of(members.begin(), members.end(), isHealthy)) {
        for (const auto &member : members) {
            if (!isTrusted(*member, limits.now))
                avoided.insert(member->report().id);
        }
    }
    limits.excluded.insert(avoided.begin(), avoided.end());
}

std::map<std::string, ServiceUse> useOfPlainServices(const Gateway &gateway)
{
    std::map<std::string, ServiceUse> uses;
    const auto &current = gateway.dependencies().configuration.current();
    for (const auto &[id, upstream] : gateway.dependencies().fleet.all()) {
        const auto &name = upstream->report().service;
        const auto *service = current ? current->findService(name) : nullptr;
        if (!service || service->engine)
            continue;
        uses[name].slots += upstream->report().slots;
        uses[name].inFlight += upstream->allInFlight();
    }
    return uses;
}

void noteAnswerOfPlain(Gateway &gateway, const RequestPlan &plan, unsigned status,
                       UpstreamLoad &load)
{
    if (!plan.requestsAhead)
        return;
    const auto now = gateway.dependencies().clock.now();
    if (status < 500)
        gateway.serviceRoom(plan.service)
            .noteAnswer(loadOf(*plan.upstream, *plan.requestsAhead), now - load.sent(), now);
    load.end();
}

void noteRejectionOfPlain(Gateway &gateway, const RequestPlan &plan)
{
    if (plan.requestsAhead)
        gateway.serviceRoom(plan.service)
            .noteRejected(loadOf(*plan.upstream, *plan.requestsAhead),
                          gateway.dependencies().clock.now());
}

RoomSearch::RoomSearch(Gateway &gateway, const AcceptedRequest &request)
    : m_gateway(gateway)
    , m_request(request)
{ }

bool RoomSearch::appliesTo(const RequestPlan &plan) const
{
    const auto *service = m_request.configuration->findService(plan.service);
    return service && !plan.engine && isRoomLimited(m_gateway, m_request, *service);
}

Capacity::RoomRequest RoomSearch::roomRequest() const
{
    const auto now = m_gateway.dependencies().clock.now();
    Capacity::RoomRequest request;
    request.remaining = m_request.remainingTime(now);
    request.target = m_request.route->target;
    request.untilLate = request.target - (now - m_request.arrival) - m_request.timeSpentBefore;
    request.isOnce = !m_request.route->mayRunAgain();
    request.isReturning = m_request.isReturning;
    return request;
}

EngineQueueExchange::Demand RoomSearch::demand(const RequestPlan &plan)
{
    m_service = plan.service;
    const auto &room = m_gateway.serviceRoom(plan.service);
    const auto request = roomRequest();
    m_limit = room.limit(hashOf(*plan.upstream), plan.upstream->report().slots, request,
                         m_gateway.dependencies().clock.now());
    EngineQueueExchange::Demand demand;
    demand.remaining =
        duration_cast<milliseconds>(room.maxCounted(loadOf(*plan.upstream, m_limit), request));
    demand.requestLimit = m_limit;
    return demand;
}

bool RoomSearch::hasRoom(RequestPlan &plan, const QueuePlace *place)
{
    const auto &upstream = *plan.upstream;
    const auto now = m_gateway.dependencies().clock.now();
    const auto ahead = place ? place->requestsAhead() : upstream.allInFlight();
    const auto *service = m_request.configuration->findService(plan.service);
    const auto ownLimit = std::max(
        MinOwnRequests, service->maxConnections / (m_gateway.instanceCount().value_or(1) + 1));
    if (ahead < m_limit && (place || upstream.inFlight() < ownLimit)) {
        plan.requestsAhead = ahead;
        return true;
    }
    auto &room = m_gateway.serviceRoom(plan.service);
    const auto spread = std::generate_canonical<double, 32>(m_gateway.random());
    const auto wait = room.untilRoom(loadOf(upstream, ahead), roomRequest(), spread, now);
    m_untilRoom = std::min(m_untilRoom.value_or(wait), wait);
    m_full.insert(upstream.report().id);
    const auto answered = room.lastAnswer(hashOf(upstream));
    m_asked += (m_asked.empty() ? "" : "; ") + upstream.report().id.value() + " requests "
               + std::to_string(ahead) + " limit " + std::to_string(m_limit) + " answer "
               + text(room.answerTime(hashOf(upstream), m_request.route->target))
               + (answered ? " age " + text(now - *answered) : " assumed")
               + (place ? " by keeper" : " by reports");
    return false;
}

bool RoomSearch::hasEnded() const
{
    return m_full.size() >= MaxAsked;
}

Refusal RoomSearch::refuse()
{
    const auto request = roomRequest();
    const auto retryAfter = duration_cast<milliseconds>(m_untilRoom.value_or(Milliseconds(0)));
    Core::logEvent(Core::EventId::ServiceFull,
                   {{"request", m_request.caller.attemptId},
                    {"route", m_request.route->name},
                    {"service", m_service},
                    {"asked", m_asked},
                    {"once", request.isOnce ? "true" : "false"},
                    {"returning", request.isReturning ? "true" : "false"},
                    {"left_ms", text(request.remaining)},
                    {"target_ms", text(request.target)},
                    {"retry_after_ms", std::to_string(retryAfter.count())}});
    return {Core::ErrorKind::Overloaded,
            "the upstreams of service " + m_service + " have no room for the request", retryAfter,
            Capacity::WaitingOutlook {.wait = retryAfter, .excess = retryAfter}};
}

} // namespace Gateway
