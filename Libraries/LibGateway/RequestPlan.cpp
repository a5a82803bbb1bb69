#include <LibGateway/MemoryAdmission.h>
#include <LibGateway/PromptAdmission.h>
#include <LibGateway/RequestPlan.h>
#include <LibGateway/RoomSearch.h>
#include <LibGateway/TeamAdmission.h>
#include <LibGateway/Urgency.h>

#include <algorithm>
#include <random>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto ShortRetryAfter = 300ms;
// Prompts must begin before their engine's weights have been outdated for this share of the weights
// bound. In the rest, a prompt that is withdrawn leaves the engine's queue.
constexpr double MaxOutdatedShare = 0.95;
// The share up to which a prompt is sent that cannot be moved to another engine if it begins later
// than expected.
constexpr double MaxOutdatedShareWhenSent = 0.65;
// Instances that may be starting or shutting down, in addition to the known members.
constexpr unsigned SpareInstances = 1;
// Transfers that would wait longer are not worth starting. The engines drop them beyond two
// seconds.
constexpr EngineModel::Milliseconds MaxWaitForSaving {200};
constexpr double BytesPerMegabit = 125'000;
constexpr double MillisecondsPerSecond = 1'000;

std::string formatMilliseconds(EngineModel::Milliseconds time)
{
    return std::to_string(static_cast<std::uint64_t>(time.count()));
}

/// Picks one of the route's services at random, in proportion to their weights. Services whose
/// engines can never hold the prompt are left out; the result is empty if that leaves none.
std::string pickService(Gateway &gateway, const AcceptedRequest &request)
{
    const auto &services = request.route->services;
    std::vector<double> weights;
    bool isPossible = false;
    for (const auto &entry : services) {
        const bool isTooLarge = exceedsEngines(gateway, request, entry.service);
        weights.push_back(isTooLarge ? 0 : entry.weight);
        isPossible = isPossible || !isTooLarge;
    }
    if (!isPossible)
        return {};
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return services[pick(gateway.random())].service;
}

/// Returns the rate at which a link transfers cached parts, in tokens per millisecond; 0 if the
/// speed of the link or the size of a token is unknown.
double transferRate(double megabits, const EngineLimits &engine)
{
    if (engine.bytesPerToken == 0)
        return 0;
    return megabits * BytesPerMegabit / MillisecondsPerSecond
           / static_cast<double>(engine.bytesPerToken);
}

/// Returns the time for which engines may begin prompts on outdated weights.
milliseconds maxOutdatedTime(const Gateway &gateway)
{
    return duration_cast<milliseconds>(MaxOutdatedShare
                                       * gateway.dependencies().settings.weightsBound);
}

EngineDemand demandOf(Gateway &gateway, const AcceptedRequest &request, const Service &service)
{
    const auto &engine = *service.engine;
    const auto &dependencies = gateway.dependencies();
    EngineDemand demand;
    demand.parts = request.parts;
    demand.promptTokens = request.promptTokens();
    if (request.parts.size() > 1)
        demand.affinityKey = request.parts[request.parts.size() - 2].prefixHash;
    demand.sharedTokens = request.sharedTokens();
    demand.model = request.caller.model;
    demand.isUrgent = isUrgent(*request.route, request.tenant);
    if (request.route->kind == RequestKind::Stream)
        demand.pauseTarget = request.route->gapTarget;
    demand.targets = &dependencies.weights;
    demand.maxOutdatedTime = maxOutdatedTime(gateway);
    // Only streams are withdrawn, and only some of them are sent again then.
    const auto &route = *request.route;
    if (route.kind != RequestKind::Stream || !route.mayRunAgain() || route.maxAttempts < 2)
        demand.maxOutdatedTimeWhenSent = duration_cast<milliseconds>(
            MaxOutdatedShareWhenSent * dependencies.settings.weightsBound);
    demand.slots = engine.slots;
    demand.memoryTokens = request.memoryTokens();
    demand.memoryCapacity = engine.cacheTokens;
    if (dependencies.settings.limitsEngineMemory)
        demand.memory = &gateway.engineMemory(service.name);
    demand.fetchTokensPerMillisecond = transferRate(engine.linkMegabitsPerSecond, engine);
    return demand;
}

/// Returns what the request lacks; empty if no engine could serve it in time.
std::optional<Capacity::WaitingOutlook> shortageOf(const PromptOutlook &outlook,
                                                   const PromptRefusal &refusal)
{
    if (!refusal.retryAfter)
        return std::nullopt;
    return Capacity::WaitingOutlook {outlook.wait, outlook.ownTime, *refusal.retryAfter};
}

/// Returns the refusal of a request for which no upstream of the service has room now.
Refusal noUpstreamRefusal(const Gateway &gateway, const std::string &service,
                          const std::string &noun)
{
    Refusal refusal {Core::ErrorKind::NoUpstream,
                     "no " + noun + " of service " + service + " accepts requests",
                     ShortRetryAfter};
    if (!gateway.dependencies().fleet.members(service).empty())
        refusal.shortage = Capacity::WaitingOutlook {.excess = ShortRetryAfter};
    return refusal;
}

std::optional<Refusal> refuseIfTooSlow(const AcceptedRequest &request, const EngineChoice &choice,
                                       Core::Clock::Monotonic now)
{
    PromptOutlook outlook;
    outlook.wait = choice.expectedWait;
    outlook.ownTime = choice.expectedFirstToken - choice.expectedWait;
    outlook.remaining = request.remainingTime(now);
    outlook.target = request.route->target;
    outlook.isUrgent = isUrgent(*request.route, request.tenant);
    outlook.isReturning = request.isReturning;
    const auto refusal = refusePrompt(outlook);
    if (!refusal)
        return std::nullopt;
    return Refusal {Core::ErrorKind::Overloaded,
                    "the expected wait, " + formatMilliseconds(outlook.wait) + " ms, and prefill, "
                        + formatMilliseconds(outlook.ownTime) + " ms, are too long",
                    refusal->retryAfter, shortageOf(outlook, *refusal)};
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
    auto demand = demandOf(gateway, request, service);
    auto *store = gateway.stores().storeFor(demand.affinityKey);
    demand.store = store;
    if (store) {
        demand.storeTokensPerMillisecond = transferRate(store->linkMegabits(), *service.engine);
        store->transfers().setRate(
            demand.storeTokensPerMillisecond / gateway.instanceCount().value_or(1), limits.now);
    }
    auto chosen = chooseEngine(gateway.dependencies().fleet.members(service.name),
                               gateway.engineModel(service.name), demand, limits);
    if (!chosen)
        return noUpstreamRefusal(gateway, service.name, "engine");
    if (auto refusal = refuseForTeam(gateway, request, service.name, *chosen))
        return std::move(*refusal);
    if (chosen->memoryWait > EngineModel::Milliseconds::zero())
        return refuseForMemory(service.name, chosen->memoryWait);
    if (auto refusal = refuseIfTooSlow(request, *chosen, limits.now))
        return std::move(*refusal);
    RequestPlan plan;
    plan.service = service.name;
    plan.upstream = chosen->upstream;
    plan.engine = std::move(chosen);
    plan.weights = plan.upstream->weights(request.caller.model);
    plan.storeHolder = store ? store->holder() : 0;
    plan.isSaving = store && isWorthSaving(*store, request, plan.weights)
                    && store->transfers().wait(limits.now) < MaxWaitForSaving;
    return plan;
}

} // namespace

std::uint64_t RequestPlan::uncachedTokens(const AcceptedRequest &request) const
{
    const auto total = totalTokens(request.parts);
    return engine ? total - std::min(total, engine->readyTokens) : 0;
}

unsigned RequestPlan::storeTransferTokens(const AcceptedRequest &request) const
{
    if (!engine)
        return 0;
    const auto shared = request.sharedTokens();
    const auto fetched = engine->isSpeculative ? shared : engine->readyTokens;
    unsigned tokens = isSaving ? shared : 0;
    if (engine->isFromStore)
        tokens += fetched - std::min(fetched, engine->cachedTokens);
    return tokens;
}

std::string RequestPlan::fetchSource() const
{
    if (!engine || (!engine->source && !engine->isFromStore))
        return "none";
    const auto source = engine->isFromStore ? "store" : engine->source->report().id.value();
    return (engine->isSpeculative ? "perhaps " : "") + source;
}

std::variant<RequestPlan, Refusal> planRequest(Gateway &gateway, const AcceptedRequest &request,
                                               const std::set<Core::UpstreamId> &excluded,
                                               const std::set<Core::UpstreamId> &full)
{
    if (request.route->services.empty())
        return Refusal {Core::ErrorKind::NoUpstream, "the route has no services", {}};
    const auto name = pickService(gateway, request);
    if (name.empty())
        return refuseTooLarge(request);
    const auto *service = request.configuration->findService(name);
    if (!service)
        return Refusal {Core::ErrorKind::NoUpstream, "service " + name + " is not configured",
                        ShortRetryAfter};
    ChoiceLimits limits;
    limits.maxInFlight = std::max(2U, service->maxConnections
                                          / (gateway.instanceCount().value_or(1) + SpareInstances));
    limits.excluded = excluded;
    limits.now = gateway.dependencies().clock.now();
    limits.random = &gateway.random();
    limits.instances = gateway.instanceCount().value_or(1);
    const bool isEngine = service->engine && !request.caller.model.empty();
    if (!isEngine && isRoomLimited(gateway, request, *service))
        limitToRoom(gateway, request, *service, full, limits);
    else
        limits.excluded.insert(full.begin(), full.end());
    if (isEngine)
        return planEngine(gateway, request, *service, limits);
    RequestPlan plan;
    plan.service = name;
    plan.upstream =
        chooseLeastLoaded(gateway.dependencies().fleet.members(name), limits, gateway.random());
    if (!plan.upstream)
        return noUpstreamRefusal(gateway, name, "upstream");
    return plan;
}

std::optional<Core::Clock::Monotonic> latestBegin(const Gateway &gateway, const RequestPlan &plan,
                                                  const std::string &model)
{
    if (!plan.engine)
        return std::nullopt;
    const auto since = gateway.dependencies().weights.outdatedSince(model, plan.weights);
    return since ? std::optional(*since + maxOutdatedTime(gateway)) : std::nullopt;
}

KvCacheStore *kvCacheStoreOf(Gateway &gateway, const RequestPlan &plan)
{
    auto *store = gateway.stores().find(plan.storeHolder);
    return store && store->isAnswering() ? store : nullptr;
}

} // namespace Gateway
