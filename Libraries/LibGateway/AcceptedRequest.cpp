#include <LibCore/Hash.h>
#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestDigest.h>
#include <LibGateway/RequestLog.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto ShortRetryAfter = 300ms;
// A configuration confirmed within this share of the configuration bound counts as up to date.
constexpr double UpToDateShare = 0.75;

} // namespace

std::optional<Refusal> AcceptedRequest::decode(const RequestDialect &dialect,
                                               const Http::Request &request)
{
    auto decoded = dialect.decode(request);
    if (!decoded)
        return Refusal {Core::ErrorKind::MalformedRequest, decoded.error().detail(), {}};
    caller = std::move(decoded.value());
    for (std::size_t n = 0; n + 1 < caller.parts.size(); ++n)
        partHashes.push_back(Core::hash64(caller.parts[n].id));
    return std::nullopt;
}

std::optional<Refusal> AcceptedRequest::authorize(Gateway &gateway, const Http::Request &request)
{
    const auto &state = gateway.dependencies().configuration;
    const auto now = gateway.dependencies().clock.now();
    configuration = state.current();
    if (!configuration)
        return Refusal {Core::ErrorKind::NotReady, "no configuration has been received yet",
                        ShortRetryAfter};
    // A missing route or key may have been added since the last read, so the request is rejected as
    // unknown only while the configuration is up to date.
    const bool isUpToDate =
        state.age(now) < UpToDateShare * gateway.dependencies().settings.configurationBound;
    const Refusal outOfDate {Core::ErrorKind::NotReady, "the configuration may be out of date",
                             ShortRetryAfter};
    const auto &target = request.target;
    const auto path = target.substr(0, target.find('?'));
    route = configuration->findRoute(caller.host, path);
    if (configuration->isUnreadable(caller.host, path, route))
        return Refusal {Core::ErrorKind::NotReady,
                        "the route of the request cannot be read from the configuration",
                        {}};
    if (!route)
        return isUpToDate ? Refusal {Core::ErrorKind::UnknownRoute,
                                     "no route matches the host and path",
                                     {}}
                          : outOfDate;
    tenant = configuration->findTenant(caller.key);
    if (!route->isPublic && configuration->requiresKeys) {
        if (!gateway.hasUpToDateKeys())
            return outOfDate;
        if (!tenant)
            return isUpToDate
                       ? Refusal {Core::ErrorKind::Unauthenticated, "the API key is unknown", {}}
                       : outOfDate;
    }
    digest = requestDigest(target, tenantName(), request.body);
    if (auto refusal = refusePoison(gateway))
        return refusal;
    deadline = arrival + std::min(caller.callerTimeout.value_or(route->timeout), route->timeout);
    if (caller.callerTimeout) {
        auto &callers = gateway.returningCallers(route->name);
        isReturning = callers.noteArrival(*caller.callerTimeout);
        timeSpentBefore = isReturning ? callers.timeSpent(*caller.callerTimeout) : 0ms;
    }
    parts.clear();
    std::uint64_t prefixHash = Core::hash64(cacheScope(), Core::hash64(caller.model));
    for (const auto &part : caller.parts) {
        prefixHash = Core::hash64(part.id, prefixHash);
        parts.push_back({prefixHash, part.tokens});
    }
    return std::nullopt;
}

std::optional<Refusal> AcceptedRequest::refusePoison(Gateway &gateway)
{
    const auto cause = poisonCause(gateway);
    if (!cause)
        return std::nullopt;
    if (gateway.mayTryCause(*cause)) {
        triedCause = cause;
        return std::nullopt;
    }
    const auto reason = *cause == digest
                            ? "several upstreams failed while they executed this request"
                            : "part " + formatHash(*cause) + " of the prompt crashes engines";
    return Refusal {Core::ErrorKind::PoisonRequest, reason, {}};
}

std::optional<std::uint64_t> AcceptedRequest::poisonCause(Gateway &gateway) const
{
    auto suspects = partHashes;
    suspects.push_back(digest);
    const auto cause = gateway.poison().findPoison(suspects, gateway.dependencies().clock.now());
    return cause == triedCause ? std::nullopt : cause;
}

milliseconds AcceptedRequest::remainingTime(Core::Clock::Monotonic now) const
{
    return std::max(0ms, duration_cast<milliseconds>(deadline - now));
}

std::string AcceptedRequest::cacheScope() const
{
    return configuration->cacheScope(tenant);
}

std::uint64_t AcceptedRequest::memoryTokens() const
{
    // Few answers reach their output limit, so half of it is counted.
    return caller.promptTokens + caller.outputTokens / 2;
}

double AcceptedRequest::quotaUnits() const
{
    if (!tenant || tenant->unitsPerSecond <= 0)
        return 0;
    if (!tenant->isCappedByTokens)
        return 1;
    // As the caller declared them, whatever the engine has cached.
    const auto declared = caller.promptTokens + caller.outputTokens;
    return declared > 0 ? declared : tenant->plainTokens;
}

unsigned AcceptedRequest::promptTokens() const
{
    return std::max(totalTokens(parts), caller.promptTokens);
}

unsigned AcceptedRequest::sharedTokens() const
{
    // The last part is specific to this request and not shared.
    return parts.empty() ? 0 : totalTokens(std::span(parts).first(parts.size() - 1));
}

Metrics::Labels AcceptedRequest::labels() const
{
    return {tenantName(), route ? route->name : ""};
}

} // namespace Gateway
