#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/RequestPlan.h>
#include <LibGateway/UpstreamLoad.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Gateway {

/// Returns whether requests for the service are admitted by the exact load of its upstreams: it has
/// no engines, and fewer slots than there are instances. Streams are excepted, because they occupy
/// a slot for much longer than the answers that the estimate is learned from.
bool isRoomLimited(const Gateway &gateway, const AcceptedRequest &request, const Service &service);

/// Excludes the upstreams that are full, and for a request that may run once also those whose
/// refusals cannot be trusted while another one is healthy. The keepers know the load of all
/// instances, so this instance's part of an upstream's connections does not limit the choice.
void limitToRoom(const Gateway &gateway, const AcceptedRequest &request, const Service &service,
                 const std::set<Core::UpstreamId> &full, ChoiceLimits &limits);

/// The slots of a service's upstreams and the requests of all instances at them, as far as known.
struct ServiceUse
{
    double slots = 0;
    double inFlight = 0;
};
/// Returns the use of each plain service that has upstreams, by its name.
std::map<std::string, ServiceUse> useOfPlainServices(const Gateway &gateway);

/// Records the answer time of a plain upstream, and that the request has left it.
void noteAnswerOfPlain(Gateway &gateway, const RequestPlan &plan, unsigned status,
                       UpstreamLoad &load);
/// Records that a plain upstream did not accept a request.
void noteRejectionOfPlain(Gateway &gateway, const RequestPlan &plan);

/// Looks for an upstream of a plain service that has room for one request, in one planning of it.
/// Capacity::ServiceRoom decides; the keepers of the upstreams' queues know the load.
class RoomSearch
{
public:
    RoomSearch(Gateway &gateway, const AcceptedRequest &request);

    /// Whether the plan's upstream needs to be asked for room.
    bool appliesTo(const RequestPlan &plan) const;
    /// Returns what to enter the request with at the upstream's keeper.
    EngineQueueExchange::Demand demand(const RequestPlan &plan);
    /// Returns whether the request is sent by the plan, which receives the load. Without a place,
    /// because the keeper did not answer, the load by reports decides. Otherwise, the upstream
    /// counts as full, and the request must leave its queue.
    bool hasRoom(RequestPlan &plan, const QueuePlace *place);

    bool hasAsked() const { return !m_full.empty(); }
    /// Whether no more upstreams are to be asked.
    bool hasEnded() const;
    const std::set<Core::UpstreamId> &full() const { return m_full; }
    /// Returns the refusal, with the time at which room is expected, and logs what it follows from.
    Refusal refuse();

private:
    Capacity::RoomRequest roomRequest() const;

    Gateway &m_gateway;
    const AcceptedRequest &m_request;
    std::set<Core::UpstreamId> m_full;
    std::string m_service;
    /// The limit that the last demand was made with.
    unsigned m_limit = 0;
    std::optional<Capacity::Milliseconds> m_untilRoom;
    /// What was found at each upstream, for the log.
    std::string m_asked;
};

} // namespace Gateway
