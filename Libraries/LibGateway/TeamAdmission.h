#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestPlan.h>
#include <LibMetrics/Gauge.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// Returns the weights of teams when the capacity of a service is divided: the usage caps if all
/// teams have one in tokens, else nothing, so that all teams weigh the same.
std::map<std::string, double> teamWeights(const GatewayConfiguration &configuration);

/// Counts the prompt among those that its team asks of the service, the first time that it is
/// planned, and returns a refusal if it exceeds the team's share of a service that is short of
/// capacity. A prompt that was sent before, as an earlier attempt, is not refused. Does nothing
/// unless GatewaySettings::sharesEnginesAmongTeams.
std::optional<Refusal> refuseForTeam(Gateway &gateway, const AcceptedRequest &request,
                                     const std::string &service, const EngineChoice &choice);

/// Returns samples of the gauge of teams: tokens per second by service, team and figure.
std::vector<Metrics::Gauge::Sample> teamSamples(Gateway &gateway);

/// Counts the prompt among those that are admitted, when it is first sent to an engine.
void noteTeamSent(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan);

/// Takes that back if no upstream has executed the request.
void noteTeamNotExecuted(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan);

} // namespace Gateway
