#include <LibCore/EventLog.h>
#include <LibGateway/TeamAdmission.h>

#include <cstdint>
#include <utility>

namespace Gateway {

namespace {

// Shorter waits, as a share of the target, do not show that teams compete for the engines.
constexpr double MinContestedWait = 0.25;

std::string formatInteger(double number)
{
    return std::to_string(static_cast<std::uint64_t>(number));
}

void logExcess(const AcceptedRequest &request, const std::string &service,
               const Admission::TeamExcess &excess)
{
    const auto &standing = excess.standing;
    Core::logEvent(Core::EventId::TeamOverShare,
                   {{"request", request.caller.attemptId},
                    {"tenant", request.tenantName()},
                    {"service", service},
                    {"prompt_tokens", std::to_string(request.promptTokens())},
                    {"asked_per_s", formatInteger(standing.askedPerSecond)},
                    {"admitted_per_s", formatInteger(standing.admittedPerSecond)},
                    {"share_per_s", formatInteger(standing.sharePerSecond)},
                    {"capacity_per_s", formatInteger(standing.capacityPerSecond)},
                    {"reports_age_ms",
                     standing.reportAge ? std::to_string(standing.reportAge->count()) : "none"},
                    {"retry_after_ms", std::to_string(excess.retryAfter.count())}});
}

bool isCounted(const Gateway &gateway, const RequestPlan &plan)
{
    return gateway.dependencies().settings.sharesEnginesAmongTeams && plan.engine.has_value();
}

} // namespace

std::map<std::string, double> teamWeights(const GatewayConfiguration &configuration)
{
    std::map<std::string, double> weights;
    for (const auto &tenant : configuration.tenants) {
        if (!tenant.isCappedByTokens || tenant.unitsPerSecond <= 0)
            return {};
        weights[tenant.name] = tenant.unitsPerSecond;
    }
    return weights;
}

std::optional<Refusal> refuseForTeam(Gateway &gateway, const AcceptedRequest &request,
                                     const std::string &service, const EngineChoice &choice)
{
    auto &counts = request.teamCounts;
    if (!gateway.dependencies().settings.sharesEnginesAmongTeams || counts.isSent)
        return std::nullopt;
    auto &room = gateway.teamRoom();
    const auto now = gateway.dependencies().clock.now();
    const auto team = request.tenantName();
    if (!std::exchange(counts.isAsked, true)) {
        room.noteAsked(service, team, request.promptTokens(), now);
        room.noteWait(service, choice.expectedWait, request.route->target, now);
    }
    // A prompt that hardly waits takes nothing from other teams, and the capacity that is divided
    // may be underestimated.
    if (choice.expectedWait < MinContestedWait * EngineModel::Milliseconds(request.route->target))
        return std::nullopt;
    const auto excess = room.refuse(service, team, request.promptTokens(), now);
    if (!excess)
        return std::nullopt;
    // A prompt that waits is planned several times.
    if (!std::exchange(counts.isLogged, true))
        logExcess(request, service, *excess);
    const auto &standing = excess->standing;
    return Refusal {Core::ErrorKind::Overloaded,
                    "service " + service + " is short of capacity and team " + team + " uses "
                        + formatInteger(standing.admittedPerSecond) + " and asks "
                        + formatInteger(standing.askedPerSecond) + " of its share of "
                        + formatInteger(standing.sharePerSecond) + " tokens/s",
                    excess->retryAfter,
                    Capacity::WaitingOutlook {choice.expectedWait,
                                              choice.expectedFirstToken - choice.expectedWait,
                                              excess->retryAfter}};
}

std::vector<Metrics::Gauge::Sample> teamSamples(Gateway &gateway)
{
    std::vector<Metrics::Gauge::Sample> samples;
    const auto now = gateway.dependencies().clock.now();
    for (const auto &entry : gateway.teamRoom().standings(now)) {
        const auto prefix = entry.service + "/" + entry.team + "/";
        samples.push_back({prefix + "asked", entry.standing.askedPerSecond});
        samples.push_back({prefix + "admitted", entry.standing.admittedPerSecond});
        samples.push_back({prefix + "share", entry.standing.sharePerSecond});
    }
    return samples;
}

void noteTeamSent(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan)
{
    if (!isCounted(gateway, plan) || std::exchange(request.teamCounts.isSent, true))
        return;
    gateway.teamRoom().noteAdmitted(plan.service, request.tenantName(), request.promptTokens(),
                                    gateway.dependencies().clock.now());
}

void noteTeamNotExecuted(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan)
{
    if (!isCounted(gateway, plan) || !std::exchange(request.teamCounts.isSent, false))
        return;
    gateway.teamRoom().takeBackAdmitted(plan.service, request.tenantName(), request.promptTokens(),
                                        gateway.dependencies().clock.now());
}

} // namespace Gateway
