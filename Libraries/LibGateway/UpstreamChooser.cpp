#include <LibCore/Hash.h>
#include <LibGateway/UpstreamChooser.h>

#include <algorithm>

namespace Gateway {

namespace {

using Milliseconds = EngineModel::Milliseconds;

// What a wholly failing upstream costs in the comparison.
constexpr Milliseconds FailureCost {1'500};
// An engine with all slots taken makes a request wait for a run to end.
constexpr Milliseconds FullSlotCost {40};
// A request on weights older than the named ones loses a part of its worth after a while.
constexpr Milliseconds OldWeightsCost {300};
constexpr std::chrono::milliseconds OldWeightsGrace {1'000};
// What the tokens that an engine has to read cost the others that wait for it.
constexpr double SharedCost = 1.0;
// The preferred engine is taken to keep this share of a session's parts, as others may have sent
// them.
constexpr double HomeCredit = 0.5;
constexpr double FailureWeight = 20;
// A fetch costs a call to the source; fewer tokens are read sooner.
constexpr unsigned LeastFetchTokens = 128;
constexpr double MostSourceFailures = 0.3;
// Runs of long answers end, and free their memory, within about this time.
constexpr Milliseconds MemoryTurnover {3'000};

/// Whether the upstream's weights have been outdated for longer than the given time.
bool isOutdated(const Upstream &upstream, const EngineDemand &demand,
                std::chrono::milliseconds time, Core::Clock::Monotonic now)
{
    if (!demand.targets)
        return false;
    const auto since = demand.targets->outdatedSince(demand.model, upstream.weights(demand.model));
    return since && now - *since > time;
}

/// The member that rendezvous hashing gives a session; null when there is none.
std::shared_ptr<Upstream> preferredUpstreamOf(const UpstreamFleet::Members &candidates,
                                              std::uint64_t key)
{
    std::shared_ptr<Upstream> preferred;
    std::uint64_t best = 0;
    for (const auto &candidate : candidates) {
        const auto rank = Core::hash64(candidate->report().id.value(), key);
        if (!preferred || rank > best) {
            preferred = candidate;
            best = rank;
        }
    }
    return preferred;
}

/// The engine that keeps the most of the prompt among those with the same weights.
struct Holder
{
    std::shared_ptr<Upstream> engine;
    unsigned tokens = 0;
};

/// The best holder for each version of the weights.
std::map<std::uint64_t, Holder> findHolders(const UpstreamFleet::Members &members,
                                            const EngineDemand &demand, const ChoiceLimits &limits)
{
    std::map<std::uint64_t, Holder> holders;
    for (const auto &member : members) {
        // A source that fails costs a fetch some hundred milliseconds.
        if (member->isGone() || member->failureShare(limits.now) > MostSourceFailures)
            continue;
        auto &holder = holders[member->weights(demand.model)];
        const auto tokens = member->memory().cachedTokens(demand.parts);
        const bool isBetter = tokens > holder.tokens
                              || (tokens == holder.tokens && holder.engine && tokens > 0
                                  && member->inFlight() < holder.engine->inFlight());
        if (isBetter)
            holder = {member, tokens};
    }
    return holders;
}

/// How long a request waits for runs to end until it finds room in the engine's memory.
Milliseconds memoryWait(const Upstream &engine, const EngineDemand &demand)
{
    const auto wanted = engine.allMemoryTokens() + demand.memoryTokens;
    if (demand.memoryCapacity == 0 || wanted <= demand.memoryCapacity)
        return Milliseconds(0);
    const auto excess = static_cast<double>(wanted - demand.memoryCapacity);
    return MemoryTurnover * (excess / static_cast<double>(demand.memoryCapacity));
}

EngineChoice expectedAt(const std::shared_ptr<Upstream> &engine, const EngineModel &model,
                        const EngineDemand &demand, const Holder &holder)
{
    EngineChoice choice;
    choice.upstream = engine;
    choice.cachedTokens =
        std::min(engine->memory().cachedTokens(demand.parts), demand.promptTokens);
    choice.readyTokens = choice.cachedTokens;
    Milliseconds fetch {0};
    // Engines forget what the store still holds, so the store goes first where both have it.
    const auto stored =
        demand.store ? demand.store->storedTokens(demand.parts, engine->weights(demand.model)) : 0;
    const bool isFromStore = stored > 0 && stored >= holder.tokens;
    const auto most = std::min(std::max(stored, holder.tokens), demand.promptTokens);
    const bool hasSource = isFromStore || (holder.engine && holder.engine != engine);
    if (demand.fetchTokensPerMillisecond > 0 && hasSource
        && most > choice.cachedTokens + LeastFetchTokens) {
        choice.isFromStore = isFromStore;
        choice.source = isFromStore ? nullptr : holder.engine;
        choice.readyTokens = most;
        fetch = Milliseconds((most - choice.cachedTokens) / demand.fetchTokensPerMillisecond);
    }
    const auto tokens =
        engine->tokensBefore(demand.isUrgent) + demand.promptTokens - choice.readyTokens;
    choice.expectedFirst =
        engine->slowness() * model.firstToken(tokens) + fetch + memoryWait(*engine, demand);
    return choice;
}

/// Names a source that may keep the session's parts where none is known to. The expected time does
/// not count on it.
void guessSource(EngineChoice &choice, const EngineDemand &demand, const ChoiceLimits &limits,
                 const std::shared_ptr<Upstream> &preferred)
{
    const bool isKnown = choice.source || choice.isFromStore;
    if (isKnown || demand.fetchTokensPerMillisecond <= 0
        || demand.sharedTokens <= choice.cachedTokens + LeastFetchTokens)
        return;
    const bool isRemote =
        preferred && preferred != choice.upstream
        && preferred->weights(demand.model) == choice.upstream->weights(demand.model)
        && preferred->failureShare(limits.now) <= MostSourceFailures;
    if (isRemote)
        choice.source = preferred;
    else if (demand.store && demand.sharedTokens >= KvCacheStore::MinTokens)
        choice.isFromStore = true;
    choice.isGuess = choice.source || choice.isFromStore;
}

Milliseconds cost(const EngineChoice &choice, const EngineModel &model, const EngineDemand &demand,
                  const ChoiceLimits &limits, bool isPreferred)
{
    const auto &upstream = *choice.upstream;
    const double rate = model.tokensPerMillisecond();
    auto sum = choice.expectedFirst
               + SharedCost * upstream.slowness()
                     * Milliseconds((demand.promptTokens - choice.readyTokens) / rate);
    sum += upstream.failureShare(limits.now) * FailureCost;
    const auto running = upstream.allInFlight();
    if (running >= demand.slots)
        sum += (running - demand.slots + 1.0) * FullSlotCost;
    if (isOutdated(upstream, demand, OldWeightsGrace, limits.now))
        sum += OldWeightsCost;
    if (isPreferred && choice.readyTokens < demand.sharedTokens)
        sum -= HomeCredit * Milliseconds((demand.sharedTokens - choice.readyTokens) / rate);
    return sum;
}

} // namespace

bool takesRequests(const Upstream &upstream, const ChoiceLimits &limits)
{
    return !upstream.isGone() && !upstream.report().isDraining
           && upstream.pausedUntil() <= limits.now && upstream.inFlight() < limits.maxInFlight
           && !limits.excluded.contains(upstream.report().id);
}

std::optional<EngineChoice> chooseEngine(const UpstreamFleet::Members &members,
                                         const EngineModel &model, const EngineDemand &demand,
                                         const ChoiceLimits &limits)
{
    UpstreamFleet::Members candidates;
    for (const auto &member : members) {
        if (takesRequests(*member, limits)
            && !isOutdated(*member, demand, demand.weightsPatience, limits.now))
            candidates.push_back(member);
    }
    const auto preferred = preferredUpstreamOf(candidates, demand.affinityKey);
    auto holders = findHolders(members, demand, limits);
    std::optional<EngineChoice> best;
    Milliseconds bestCost {0};
    for (const auto &candidate : candidates) {
        const auto &holder = holders[candidate->weights(demand.model)];
        auto choice = expectedAt(candidate, model, demand, holder);
        const auto sum = cost(choice, model, demand, limits, candidate == preferred);
        if (!best || sum < bestCost) {
            best = std::move(choice);
            bestCost = sum;
        }
    }
    if (best)
        guessSource(*best, demand, limits, preferred);
    return best;
}

std::shared_ptr<Upstream> chooseService(const UpstreamFleet::Members &members,
                                        const ChoiceLimits &limits, std::minstd_rand &random)
{
    std::vector<std::shared_ptr<Upstream>> candidates;
    for (const auto &member : members) {
        if (takesRequests(*member, limits))
            candidates.push_back(member);
    }
    if (candidates.empty())
        return nullptr;
    std::shuffle(candidates.begin(), candidates.end(), random);
    const auto load = [&limits](const Upstream &upstream) {
        const double inFlight = upstream.allInFlight();
        return inFlight / std::max(1U, upstream.report().slots)
               + FailureWeight * upstream.failureShare(limits.now);
    };
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&load](const auto &left, const auto &right) { return load(*left) < load(*right); });
}

} // namespace Gateway
