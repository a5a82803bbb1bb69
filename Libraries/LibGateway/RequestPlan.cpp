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
constexpr auto LeastRetryAfter = 100ms;
// Streams are given up by callers after this many times the target without a first event.
constexpr double PatienceInTargets = 4;
// What is less urgent waits for at most this part of its target: a longer queue serves no more
// requests, and delays the urgent ones that share the engines' steps with it.
constexpr double QueueInTargets = 0.5;
// Of a stream's time, this share may be spent on waiting for the first token.
constexpr double FirstTokenShare = 0.85;
// An engine with older weights is passed over from this part of the weights' bound on.
constexpr double WeightsPatienceShare = 0.65;
// Connections beyond an equal share that may still be starting or closing.
constexpr unsigned SpareInstances = 1;
constexpr double BytesPerMegabit = 125'000;
constexpr double MillisecondsPerSecond = 1'000;

/// Draws one of the route's services by their weights.
std::string drawService(Gateway &gateway, const Route &route)
{
    std::vector<double> weights;
    for (const auto &entry : route.services)
        weights.push_back(entry.weight);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return route.services[pick(gateway.random())].service;
}

/// How fast engines pass cached parts to each other; 0 when they cannot.
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
        demand.affinityKey = request.parts[request.parts.size() - 2].chain;
    demand.sharedTokens = request.sharedTokens();
    demand.model = request.caller.model;
    demand.isUrgent = isUrgent(*request.route, request.tenant);
    demand.targets = &dependencies.weights;
    demand.weightsPatience =
        duration_cast<milliseconds>(WeightsPatienceShare * dependencies.settings.weightsBound);
    demand.slots = engine.slots;
    demand.memoryTokens = request.memoryTokens();
    demand.memoryCapacity = engine.cacheTokens;
    demand.fetchTokensPerMillisecond = fetchRate(engine);
    return demand;
}

std::optional<Refusal> refuseSlow(const AcceptedRequest &request, const EngineChoice &choice,
                                  Core::Clock::Monotonic now)
{
    const auto &route = *request.route;
    const auto most = isUrgent(route, request.tenant) ? PatienceInTargets : QueueInTargets;
    const auto patience = std::min<EngineModel::Milliseconds>(
        most * EngineModel::Milliseconds(route.target),
        FirstTokenShare * EngineModel::Milliseconds(request.left(now)));
    if (choice.expectedFirst <= patience)
        return std::nullopt;
    const auto wait = choice.expectedFirst - route.target;
    const auto expected = static_cast<std::uint64_t>(choice.expectedFirst.count());
    return Refusal {Core::ErrorKind::Overloaded,
                    "first token expected in " + std::to_string(expected) + " ms",
                    std::max<milliseconds>(LeastRetryAfter, duration_cast<milliseconds>(wait))};
}

/// Whether the prompt's parts are worth a place in the store that does not have them yet.
bool isWorthSaving(const KvCacheStore &store, const AcceptedRequest &request, std::uint64_t weights)
{
    // The last part is the request's own; saving it takes room from what others share.
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
        return Refusal {Core::ErrorKind::NoUpstream, "no engine of " + service.name + " is free",
                        ShortRetryAfter};
    if (auto refusal = refuseSlow(request, *chosen, limits.now))
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
    return (engine->isGuess ? "perhaps " : "") + source;
}

std::variant<RequestPlan, Refusal> planRequest(Gateway &gateway, const AcceptedRequest &request,
                                               const std::set<Core::UpstreamId> &excluded)
{
    if (request.route->services.empty())
        return Refusal {Core::ErrorKind::NoUpstream, "the route has no service", {}};
    const auto name = drawService(gateway, *request.route);
    const auto *service = request.configuration->findService(name);
    if (!service)
        return Refusal {Core::ErrorKind::NoUpstream, "service " + name + " is not configured",
                        ShortRetryAfter};
    ChoiceLimits limits;
    limits.maxInFlight =
        std::max(2U, service->maxConnections / (gateway.instances().value_or(1) + SpareInstances));
    limits.excluded = excluded;
    limits.now = gateway.dependencies().clock.now();
    if (service->engine && !request.caller.model.empty())
        return planEngine(gateway, request, *service, limits);
    RequestPlan plan;
    plan.service = name;
    plan.upstream =
        chooseService(gateway.dependencies().fleet.members(name), limits, gateway.random());
    if (!plan.upstream)
        return Refusal {Core::ErrorKind::NoUpstream, "no upstream of " + name + " is free",
                        ShortRetryAfter};
    return plan;
}

KvCacheStore *kvCacheStoreOf(Gateway &gateway, const RequestPlan &plan)
{
    auto *store = gateway.stores().find(plan.storeHolder);
    return store && store->isAnswering() ? store : nullptr;
}

} // namespace Gateway
