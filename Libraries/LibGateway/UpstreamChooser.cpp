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
// The home engine is taken to keep this share of a session's parts, as others may have sent them.
constexpr double HomeCredit = 0.5;
constexpr double FailureWeight = 20;

bool hasOldWeights(const Upstream &upstream, const EngineDemand &demand)
{
    return demand.weights && upstream.weights(demand.model) < demand.weights->version;
}

/// The member that rendezvous hashing gives a session.
const Upstream *homeOf(const std::vector<std::shared_ptr<Upstream>> &candidates, std::uint64_t key)
{
    const Upstream *home = nullptr;
    std::uint64_t best = 0;
    for (const auto &candidate : candidates) {
        const auto rank = Core::hash64(candidate->report().id.value(), key);
        if (!home || rank > best) {
            home = candidate.get();
            best = rank;
        }
    }
    return home;
}

Milliseconds cost(const Upstream &upstream, const EngineChoice &choice, const EngineModel &model,
                  const EngineDemand &demand, const ChoiceLimits &limits, bool isHome)
{
    const double missed = demand.promptTokens - choice.keptTokens;
    const double rate = model.tokensPerMillisecond();
    auto sum = choice.expectedFirst + SharedCost * upstream.slowness() * Milliseconds(missed / rate);
    sum += upstream.failureShare(limits.now) * FailureCost;
    const auto running = upstream.inFlight() + upstream.othersInFlight();
    if (running >= demand.slots)
        sum += (running - demand.slots + 1.0) * FullSlotCost;
    if (hasOldWeights(upstream, demand) && limits.now - demand.weights->learnt > OldWeightsGrace)
        sum += OldWeightsCost;
    if (isHome && choice.keptTokens < demand.sharedTokens)
        sum -= HomeCredit * Milliseconds((demand.sharedTokens - choice.keptTokens) / rate);
    return sum;
}

} // namespace

bool takesRequests(const Upstream &upstream, const ChoiceLimits &limits)
{
    return !upstream.isGone() && !upstream.report().isDraining
           && upstream.heldUntil() <= limits.now && upstream.inFlight() < limits.mostInFlight
           && !limits.excluded.contains(upstream.report().id);
}

std::optional<EngineChoice> chooseEngine(const UpstreamFleet::Members &members,
                                         const EngineModel &model, const EngineDemand &demand,
                                         const ChoiceLimits &limits)
{
    const bool isPatienceOver =
        demand.weights && limits.now - demand.weights->learnt > demand.weightsPatience;
    std::vector<std::shared_ptr<Upstream>> candidates;
    for (const auto &member : members) {
        if (takesRequests(*member, limits) && !(isPatienceOver && hasOldWeights(*member, demand)))
            candidates.push_back(member);
    }
    const auto *home = homeOf(candidates, demand.homeKey);
    std::optional<EngineChoice> best;
    Milliseconds bestCost {0};
    for (const auto &candidate : candidates) {
        EngineChoice choice {candidate, candidate->memory().keptTokens(demand.parts), {}};
        choice.keptTokens = std::min(choice.keptTokens, demand.promptTokens);
        const auto tokens = candidate->waitingTokens() + candidate->othersWaitingTokens()
                            + demand.promptTokens - choice.keptTokens;
        choice.expectedFirst = candidate->slowness() * model.firstToken(tokens);
        const auto sum =
            cost(*candidate, choice, model, demand, limits, candidate.get() == home);
        if (!best || sum < bestCost) {
            best = choice;
            bestCost = sum;
        }
    }
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
        const double inFlight = upstream.inFlight() + upstream.othersInFlight();
        return inFlight / std::max(1U, upstream.report().slots)
               + FailureWeight * upstream.failureShare(limits.now);
    };
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&load](const auto &left, const auto &right) { return load(*left) < load(*right); });
}

} // namespace Gateway
