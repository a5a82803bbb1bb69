#include <LibGateway/RequestPlan.h>
#include <LibGateway/Urgency.h>

#include <algorithm>
#include <random>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto ShortRetryAfter = 300ms;
constexpr auto MinRetryAfter = 100ms;
// Callers cancel a stream after this multiple of the route's target without a first event.
constexpr double MaxUrgentWaitTargets = 4;
// The maximum wait of less urgent requests, as a multiple of the target. A longer queue does not
// increase throughput, and delays urgent requests that share the engines' steps with it.
constexpr double MaxQueueWaitTargets = 0.5;
// The share of a request's remaining time that may be spent waiting for the first token.
constexpr double FirstTokenShare = 0.85;
// Engines are skipped when their weights have been outdated for longer than this share of the
// weights bound.
constexpr double MaxOutdatedShare = 0.65;
// Instances that may be starting or shutting down, in addition to the known members.
constexpr unsigned SpareInstances = 1;
constexpr double BytesPerMegabit = 125'000;
constexpr double MillisecondsPerSecond = 1'000;

/// Picks one of the route's services at random, in proportion to their weights.
std::string pickService(Gateway &gateway, const Route &route)
{
    std::vector<double> weights;
    for (const auto &entry : route.services)
        weights.push_back(entry.weight);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return route.services[pick(gateway.random())].service;
}

/// Returns the rate at which engines transfer cached parts to each other, in tokens per
/// millisecond; 0 if they cannot.
double fetchRate(const EngineLimits &engine)
{
    if (engine.bytesPerToken == 0)
        return 0;
    return engine.linkMegabitsPerSecond * BytesPerMegabit / MillisecondsPerSecond
           / static_cast<double>(engine.bytesPerToken);
}

EngineDemand demandOf(const Gateway &gateway, const AcceptedRequest &request,
                      const EngineLimits &engine)
{
    const auto &dependencies = gateway.dependencies();
    EngineDemand demand;
    demand.parts = request.parts;
    demand.promptTokens = request.promptTokens();
    if (request.parts.size() > 1)
        demand.affinityKey = request.parts[request.parts.size() - 2].prefixHash;
    demand.sharedTokens = request.sharedTokens();
    demand.model = request.caller.model;
    demand.isUrgent = isUrgent(*request.route, request.tenant);
    demand.targets = &dependencies.weights;
    demand.maxOutdatedTime =
        duration_cast<milliseconds>(MaxOutdatedShare * dependencies.settings.weightsBound);
    demand.slots = engine.slots;
    demand.memoryTokens = request.memoryTokens();
    demand.memoryCapacity = engine.cacheTokens;
    demand.fetchTokensPerMillisecond = fetchRate(engine);
    return demand;
}

std::optional<Refusal> refuseIfTooSlow(const AcceptedRequest &request, const EngineChoice &choice,
                                       Core::Clock::Monotonic now)
{
    const auto &route = *request.route;
    const auto maxTargets =
        isUrgent(route, request.tenant) ? MaxUrgentWaitTargets : MaxQueueWaitTargets;
    const auto waitLimit = std::min<EngineModel::Milliseconds>(
        maxTargets * EngineModel::Milliseconds(route.target),
        FirstTokenShare * EngineModel::Milliseconds(request.remainingTime(now)));
    if (choice.expectedFirstToken <= waitLimit)
        return std::nullopt;
    const auto retryAfter = choice.expectedFirstToken - route.target;
    const auto expected = static_cast<std::uint64_t>(choice.expectedFirstToken.count());
    return Refusal {Core::ErrorKind::Overloaded,
                    "the expected time to the first token, " + std::to_string(expected)
                        + " ms, is too long",
                    std::max<milliseconds>(MinRetryAfter, duration_cast<milliseconds>(retryAfter))};
}

/// Returns whether the prompt's parts should be saved to the store, which does not have all of them
/// yet.
bool isWorthSaving(const KvCacheStore &store, const AcceptedRequest &request, std::uint64_t weights)
{
    // The last part is specific to the request; saving it would displace parts that are shared.
    if (request.parts.size() < 2)
        return false;
    const std::span shared(request.parts.data(), request.parts.size() - 1);
    const auto tokens = totalTokens(shared);
    return tokens >= KvCacheStore::MinTokens && store.storedTokens(shared, weights) < tokens;
}

std::variant<RequestPlan, Refusal> planEngine(Gateway &gateway, const AcceptedRequest &request,
                                              const Service &service, const ChoiceLimits &limits)
{
    auto demand = demandOf(gateway, request, *service.engine);
    const auto *store = gateway.stores().storeFor(demand.affinityKey);
    demand.store = store;
    auto chosen = chooseEngine(gateway.dependencies().fleet.members(service.name),
                               gateway.engineModel(service.name), demand, limits);
    if (!chosen)
        return Refusal {Core::ErrorKind::NoUpstream,
                        "no engine of service " + service.name + " accepts requests",
                        ShortRetryAfter};
    if (auto refusal = refuseIfTooSlow(request, *chosen, limits.now))
        return std::move(*refusal);
    RequestPlan plan;
    plan.service = service.name;
    plan.upstream = chosen->upstream;
    plan.engine = std::move(chosen);
    plan.weights = plan.upstream->weights(request.caller.model);
    plan.storeHolder = store ? store->holder() : 0;
    plan.isSaving = store && isWorthSaving(*store, request, plan.weights);
    return plan;
}

} // namespace

std::uint64_t RequestPlan::uncachedTokens(const AcceptedRequest &request) const
{
    const auto total = totalTokens(request.parts);
    return engine ? total - std::min(total, engine->readyTokens) : 0;
}

std::string RequestPlan::fetchSource() const
{
    if (!engine || (!engine->source && !engine->isFromStore))
        return "none";
    const auto source = engine->isFromStore ? "store" : engine->source->report().id.value();
    return (engine->isSpeculative ? "perhaps " : "") + source;
}

std::variant<RequestPlan, Refusal> planRequest(Gateway &gateway, const AcceptedRequest &request,
                                               const std::set<Core::UpstreamId> &excluded)
{
    if (request.route->services.empty())
        return Refusal {Core::ErrorKind::NoUpstream, "the route has no services", {}};
    const auto name = pickService(gateway, *request.route);
    const auto *service = request.configuration->findService(name);
    if (!service)
        return Refusal {Core::ErrorKind::NoUpstream, "service " + name + " is not configured",
                        ShortRetryAfter};
    ChoiceLimits limits;
    limits.maxInFlight = std::max(2U, service->maxConnections
                                          / (gateway.instanceCount().value_or(1) + SpareInstances));
    limits.excluded = excluded;
    limits.now = gateway.dependencies().clock.now();
    if (service->engine && !request.caller.model.empty())
        return planEngine(gateway, request, *service, limits);
    RequestPlan plan;
    plan.service = name;
    plan.upstream =
        chooseLeastLoaded(gateway.dependencies().fleet.members(name), limits, gateway.random());
    if (!plan.upstream)
        return Refusal {Core::ErrorKind::NoUpstream,
                        "no upstream of service " + name + " accepts requests", ShortRetryAfter};
    return plan;
}

KvCacheStore *kvCacheStoreOf(Gateway &gateway, const RequestPlan &plan)
{
    auto *store = gateway.stores().find(plan.storeHolder);
    return store && store->isAnswering() ? store : nullptr;
}

} // namespace Gateway
