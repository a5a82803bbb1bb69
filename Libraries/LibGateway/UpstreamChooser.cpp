#include <LibCore/Hash.h>
#include <LibGateway/UpstreamChooser.h>

#include <algorithm>

namespace Gateway {

namespace {

using Milliseconds = EngineModel::Milliseconds;

// The cost of an upstream whose attempts all fail.
constexpr Milliseconds FailureCost {1'500};
// The cost of each request beyond an engine's slots, since it has to wait for a running request to
// finish.
constexpr Milliseconds FullSlotCost {40};
// The cost of weights that have been outdated for longer than the grace time, since an answer
// computed with them is worth less.
constexpr Milliseconds OutdatedWeightsCost {300};
constexpr std::chrono::milliseconds OutdatedWeightsGrace {1'000};
// A prompt may wait this many times as long as expected, when others overtake it.
constexpr double WaitErrorFactor = 2;
// The weight of the delay that a prompt's prefill causes for other requests at the engine.
constexpr double PrefillDelayWeight = 1.0;
// The share of a session's parts that is assumed to be cached at the preferred engine, since other
// instances may have sent them there.
constexpr double AffinityCredit = 0.5;
constexpr double FailureWeight = 20;
// Pauses below this share of the target do not matter.
constexpr double MinPauseRatio = 0.6;
// A prefill of this share of the pause target counts as long.
constexpr double LongPrefillShare = 0.25;
// A prefill of this share of the pause target interrupts no stream for too long.
constexpr double HarmlessPrefillShare = 0.35;
// The largest cost of an engine at the wrong end of the order is the prefill of so many tokens,
// less than that of a long prompt whose shared parts are cached there.
constexpr unsigned SeparationTokens = 5'600;
// Costs that differ by less than the prefill of so many tokens for each instance, up to a limit,
// are about equal: so much may have been sent since the last reports.
constexpr double VariationTokensPerInstance = 25;
constexpr double MaxVariationTokens = 1'000;
constexpr Milliseconds InterruptedStreamCost {30};
constexpr Milliseconds OwnPauseCost {150};
// The upper 32 bits of the hash.
constexpr unsigned RankShift = 32;
constexpr double RankRange = 4'294'967'296.0;
// Transfers between data centres take this many times as long.
constexpr double RemoteTransferFactor = 2;
// The share of beliefs about another engine's cache that are wrong, because it has evicted the
// parts. A store keeps them for longer.
constexpr double EvictedShare = 0.4;
// A fetch costs a call to the source; computing fewer tokens than this is faster.
constexpr unsigned MinFetchTokens = 128;
constexpr double MaxSourceFailureShare = 0.3;
// Long-running requests finish and free their memory within about this time.
constexpr Milliseconds MemoryTurnover {3'000};

/// Returns whether the upstream's weights will have been outdated for longer than the given time.
bool isOutdated(const Upstream &upstream, const EngineDemand &demand,
                std::chrono::milliseconds time, Core::Clock::Monotonic at)
{
    if (!demand.targets)
        return false;
    const auto since = demand.targets->outdatedSince(demand.model, upstream.weights(demand.model));
    return since && at - *since > time;
}

/// Returns whether the engine would begin to answer on weights that are too old by then.
bool beginsTooLate(const EngineChoice &choice, const EngineDemand &demand,
                   Core::Clock::Monotonic now)
{
    const auto ownTime = choice.expectedFirstToken - choice.expectedWait;
    const auto begin = now
                       + std::chrono::duration_cast<Core::Clock::Monotonic::duration>(
                           WaitErrorFactor * choice.expectedWait + ownTime);
    return isOutdated(*choice.upstream, demand, demand.maxOutdatedTime, begin);
}

/// Returns the candidate that rendezvous hashing assigns to the session; null if there are none.
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

/// The engine with the most cached tokens of the prompt among those with the same weights.
struct BestCache
{
    std::shared_ptr<Upstream> engine;
    unsigned tokens = 0;
};

/// Returns the engine with the most cached tokens for each version of the weights.
std::map<std::uint64_t, BestCache> findBestCaches(const UpstreamFleet::Members &members,
                                                  const EngineDemand &demand,
                                                  const ChoiceLimits &limits)
{
    std::map<std::uint64_t, BestCache> bestCaches;
    for (const auto &member : members) {
        // A fetch from a failing source takes several hundred milliseconds.
        if (member->isRemoved() || member->failureShare(limits.now) > MaxSourceFailureShare)
            continue;
        auto &bestCache = bestCaches[member->weights(demand.model)];
        const auto tokens = member->prefixCache().cachedTokens(demand.parts);
        const bool isBetter = tokens > bestCache.tokens
                              || (tokens == bestCache.tokens && bestCache.engine && tokens > 0
                                  && member->inFlight() < bestCache.engine->inFlight());
        if (isBetter)
            bestCache = {member, tokens};
    }
    return bestCaches;
}

/// Estimates the time until enough running requests have finished to free the memory that the
/// request needs.
Milliseconds memoryWait(const Upstream &engine, const EngineDemand &demand)
{
    if (demand.memory)
        return demand.memory->expectedWait({engine.allMemoryTokens(), demand.memoryCapacity},
                                           {demand.promptTokens, demand.memoryTokens});
    const auto needed = engine.allMemoryTokens() + demand.memoryTokens;
    if (demand.memoryCapacity == 0 || needed <= demand.memoryCapacity)
        return Milliseconds(0);
    const auto excess = static_cast<double>(needed - demand.memoryCapacity);
    return MemoryTurnover * (excess / static_cast<double>(demand.memoryCapacity));
}

/// Returns the time that the engine takes to prefill tokens, by its measured speed if the service
/// is uneven.
Milliseconds prefillTime(const Upstream &engine, const EngineModel &model, std::uint64_t tokens)
{
    return model.prefillTime(tokens) / engine.speed();
}

/// A way to obtain the leading tokens of a prompt.
struct PartSource
{
    std::shared_ptr<Upstream> engine;
    bool isStore = false;
    unsigned tokens = 0;
    /// The time of the transfer, with the wait for it.
    Milliseconds transfer {0};
    /// The transfer and the prefill of the other tokens, with the delay that the prefill causes for
    /// other requests.
    Milliseconds cost {0};
};

double remoteFactor(const std::string &one, const std::string &other)
{
    return one.empty() || other.empty() || one == other ? 1 : RemoteTransferFactor;
}

/// Returns the time to transfer parts between the store and an engine.
Milliseconds storeTransferTime(const EngineDemand &demand, const Upstream &engine, unsigned tokens,
                               Core::Clock::Monotonic now)
{
    const double rate =
        demand.storeTokensPerMillisecond > 0
            ? std::min(demand.storeTokensPerMillisecond, demand.fetchTokensPerMillisecond)
            : demand.fetchTokensPerMillisecond;
    return demand.store->transfers().wait(now)
           + remoteFactor(demand.store->dataCentre(), engine.report().dataCentre)
                 * Milliseconds(tokens / rate);
}

/// Returns the fastest way to obtain the prompt's cached parts at the engine: its own cache alone,
/// the engine with the most of them, or the store. The store's link is shared by all engines, so it
/// is only used while its queue is short.
PartSource fastestSource(const Upstream &engine, const EngineModel &model,
                         const EngineDemand &demand, const BestCache &bestCache, unsigned cached,
                         Core::Clock::Monotonic now)
{
    const auto prefillCost = [&model, &engine](unsigned tokens) {
        return (1 + PrefillDelayWeight) * prefillTime(engine, model, tokens);
    };
    PartSource best {nullptr, false, cached, Milliseconds(0),
                     prefillCost(demand.promptTokens - cached)};
    if (demand.fetchTokensPerMillisecond <= 0)
        return best;
    if (bestCache.engine && bestCache.engine.get() != &engine) {
        const auto tokens = std::min(bestCache.tokens, demand.promptTokens);
        if (tokens > cached + MinFetchTokens) {
            PartSource source {bestCache.engine, false, tokens, Milliseconds(0), Milliseconds(0)};
            source.transfer =
                remoteFactor(bestCache.engine->report().dataCentre, engine.report().dataCentre)
                * Milliseconds((tokens - cached) / demand.fetchTokensPerMillisecond);
            source.cost = source.transfer + prefillCost(demand.promptTokens - tokens)
                          + EvictedShare * prefillCost(tokens - cached);
            if (source.cost < best.cost)
                best = source;
        }
    }
    const auto stored =
        demand.store ? demand.store->storedTokens(demand.parts, engine.weights(demand.model)) : 0;
    const auto tokens = std::min(stored, demand.promptTokens);
    if (tokens > cached + MinFetchTokens) {
        PartSource source {nullptr, true, tokens, Milliseconds(0), Milliseconds(0)};
        source.transfer = storeTransferTime(demand, engine, tokens - cached, now);
        source.cost = source.transfer + prefillCost(demand.promptTokens - tokens);
        if (source.cost < best.cost)
            best = source;
    }
    return best;
}

EngineChoice estimateChoice(const std::shared_ptr<Upstream> &engine, const EngineModel &model,
                            const EngineDemand &demand, const BestCache &bestCache,
                            Core::Clock::Monotonic now)
{
    EngineChoice choice;
    choice.upstream = engine;
    choice.cachedTokens =
        std::min(engine->prefixCache().cachedTokens(demand.parts), demand.promptTokens);
    const auto source = fastestSource(*engine, model, demand, bestCache, choice.cachedTokens, now);
    choice.source = source.engine;
    choice.isFromStore = source.isStore;
    choice.readyTokens = source.tokens;
    const auto ownTokens = demand.promptTokens - choice.readyTokens;
    const double waitFactor = demand.isUrgent ? 1 : model.ordinaryWaitFactor();
    const auto memory = memoryWait(*engine, demand);
    choice.memoryWait = demand.memory ? memory : Milliseconds(0);
    choice.expectedWait =
        waitFactor * engine->slowness() * model.prefillTime(engine->tokensAhead(demand.isUrgent))
        + memory;
    choice.expectedFirstToken =
        choice.expectedWait + engine->slowness() * model.firstToken(ownTokens) + source.transfer;
    return choice;
}

/// Sets a speculative source if no source of the session's parts is known. The expected time does
/// not depend on it.
void setSpeculativeSource(EngineChoice &choice, const EngineModel &model,
                          const EngineDemand &demand, const ChoiceLimits &limits,
                          const std::shared_ptr<Upstream> &preferred)
{
    const bool isKnown = choice.source || choice.isFromStore;
    if (isKnown || demand.fetchTokensPerMillisecond <= 0
        || demand.sharedTokens <= choice.cachedTokens + MinFetchTokens)
        return;
    const bool isRemote =
        preferred && preferred != choice.upstream
        && preferred->weights(demand.model) == choice.upstream->weights(demand.model)
        && preferred->failureShare(limits.now) <= MaxSourceFailureShare;
    const auto tokens = demand.sharedTokens - choice.cachedTokens;
    if (isRemote)
        choice.source = preferred;
    else if (demand.store && demand.sharedTokens >= KvCacheStore::MinTokens
             && storeTransferTime(demand, *choice.upstream, tokens, limits.now)
                    < (1 + PrefillDelayWeight) * prefillTime(*choice.upstream, model, tokens))
        choice.isFromStore = true;
    choice.isSpeculative = choice.source || choice.isFromStore;
}

/// Removes the candidates whose memory has no room for the prompt, unless none has.
void skipWithoutMemory(UpstreamFleet::Members &candidates, const EngineDemand &demand)
{
    if (!demand.memory)
        return;
    const auto hasRoom = [&demand](const auto &engine) {
        return Capacity::EngineMemory::hasRoom({engine->allMemoryTokens(), demand.memoryCapacity},
                                               {demand.promptTokens, demand.memoryTokens});
    };
    if (std::any_of(candidates.begin(), candidates.end(), hasRoom))
        std::erase_if(candidates, [&](const auto &engine) { return !hasRoom(engine); });
}

/// Returns how much the pauses that prefill causes matter, from 0 (well below the target) to 1.
double pauseWeight(const EngineModel &model, const EngineDemand &demand)
{
    if (demand.pauseTarget <= std::chrono::milliseconds::zero())
        return 0;
    const double ratio = model.pauseDuringPrefill() / Milliseconds(demand.pauseTarget);
    return std::clamp((ratio - MinPauseRatio) / (1 - MinPauseRatio), 0.0, 1.0);
}

/// Returns the cost of the pauses that the prompt's prefill causes for streams at the engine, and
/// those that the prefill of others will cause for its own stream.
///
/// Answers the load of long prompts beside streams on engines that read slowly: while an engine
/// prefills for longer than the pause target, all streams that run there are late. Engines are
/// ranked by hashing, long prefills prefer one end of the order and the others the other end, so
/// that they meet only when the load requires it.
Milliseconds pauseCost(const EngineChoice &choice, const EngineModel &model,
                       const EngineDemand &demand)
{
    const double weight = pauseWeight(model, demand);
    if (weight <= 0)
        return Milliseconds(0);
    const auto &upstream = *choice.upstream;
    const Milliseconds target(demand.pauseTarget);
    const auto own = prefillTime(upstream, model, demand.promptTokens - choice.readyTokens);
    const auto pending = prefillTime(upstream, model, upstream.tokensAhead(false));
    const auto risk = [target](Milliseconds prefill) {
        return std::clamp((prefill - HarmlessPrefillShare * target) / (target / 2), 0.0, 1.0);
    };
    const double longShare = std::clamp(own / (LongPrefillShare * target), 0.0, 1.0);
    const double rank =
        static_cast<double>(UpstreamFleet::hashOf(upstream.report().id) >> RankShift) / RankRange;
    auto sum =
        model.prefillTime(SeparationTokens) * (longShare * (1 - rank) + (1 - longShare) * rank);
    sum += risk(pending + own) * upstream.runningStreams() * InterruptedStreamCost;
    sum += risk(pending) * OwnPauseCost;
    return weight * sum;
}

Milliseconds cost(const EngineChoice &choice, const EngineModel &model, const EngineDemand &demand,
                  const ChoiceLimits &limits, bool isPreferred)
{
    const auto &upstream = *choice.upstream;
    const double rate = upstream.speed() * model.tokensPerMillisecond();
    auto sum = choice.expectedFirstToken
               + PrefillDelayWeight * upstream.slowness()
                     * model.prefillTime(demand.promptTokens - choice.readyTokens);
    sum += upstream.failureShare(limits.now) * FailureCost;
    const auto running = upstream.allInFlight();
    if (running >= demand.slots)
        sum += (running - demand.slots + 1.0) * FullSlotCost;
    if (isOutdated(upstream, demand, OutdatedWeightsGrace, limits.now))
        sum += OutdatedWeightsCost;
    sum += pauseCost(choice, model, demand);
    if (isPreferred && choice.readyTokens < demand.sharedTokens)
        sum -= AffinityCredit * Milliseconds((demand.sharedTokens - choice.readyTokens) / rate);
    return sum;
}

} // namespace

bool mayReceiveRequests(const Upstream &upstream, const ChoiceLimits &limits)
{
    return !upstream.isRemoved() && !upstream.isLeaving() && upstream.pausedUntil() <= limits.now
           && upstream.inFlight() < (upstream.isOnProbation() ? 1 : limits.maxInFlight)
           && !limits.excluded.contains(upstream.report().id);
}

std::optional<EngineChoice> chooseEngine(const UpstreamFleet::Members &members,
                                         const EngineModel &model, const EngineDemand &demand,
                                         const ChoiceLimits &limits)
{
    UpstreamFleet::Members candidates;
    for (const auto &member : members) {
        if (mayReceiveRequests(*member, limits)
            && !isOutdated(*member, demand,
                           std::min(demand.maxOutdatedTime, demand.maxOutdatedTimeWhenSent),
                           limits.now))
            candidates.push_back(member);
    }
    const auto preferred = preferredUpstreamOf(candidates, demand.affinityKey);
    skipWithoutMemory(candidates, demand);
    auto bestCaches = findBestCaches(members, demand, limits);
    std::uniform_real_distribution<double> variation(
        0, std::min(MaxVariationTokens, VariationTokensPerInstance * limits.instances));
    std::optional<EngineChoice> best;
    Milliseconds bestCost {0};
    for (const auto &candidate : candidates) {
        const auto &bestCache = bestCaches[candidate->weights(demand.model)];
        auto choice = estimateChoice(candidate, model, demand, bestCache, limits.now);
        if (beginsTooLate(choice, demand, limits.now))
            continue;
        auto sum = cost(choice, model, demand, limits, candidate == preferred);
        if (limits.random)
            sum += model.prefillTime(static_cast<std::uint64_t>(variation(*limits.random)));
        if (!best || sum < bestCost) {
            best = std::move(choice);
            bestCost = sum;
        }
    }
    if (best)
        setSpeculativeSource(*best, model, demand, limits, preferred);
    return best;
}

std::shared_ptr<Upstream> chooseLeastLoaded(const UpstreamFleet::Members &members,
                                            const ChoiceLimits &limits, std::minstd_rand &random)
{
    std::vector<std::shared_ptr<Upstream>> candidates;
    for (const auto &member : members) {
        if (mayReceiveRequests(*member, limits))
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
