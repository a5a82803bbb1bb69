#pragma once

#include <LibCapacity/EngineMemory.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/KvCacheStore.h>
#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>

#include <optional>
#include <random>
#include <set>
#include <span>

namespace Gateway {

/// Constraints on the choice of an upstream that apply to all requests.
struct ChoiceLimits
{
    /// Maximum number of concurrent requests of this instance at one upstream.
    unsigned maxInFlight = 1;
    /// Upstreams that the request has already been tried at.
    std::set<Core::UpstreamId> excluded;
    Core::Clock::Monotonic now;
    /// Varies the choice among engines that are about equally good, so that instances with the same
    /// load reports do not all choose the same one; null for the best one.
    std::minstd_rand *random = nullptr;
    /// The number of instances that choose by the same reports.
    unsigned instances = 1;
};

/// The requirements of a prompt that an engine is chosen for.
struct EngineDemand
{
    std::span<const PromptPart> parts;
    unsigned promptTokens = 0;
    /// Hash of the shared parts; equal for all requests of one session.
    std::uint64_t affinityKey = 0;
    unsigned sharedTokens = 0;
    /// Whether engines prefill the prompt before less urgent ones.
    bool isUrgent = false;
    /// The longest pause between two events for which the answer is on time; zero if it is not a
    /// stream.
    std::chrono::milliseconds pauseTarget {0};
    std::string model;
    /// The versions of the weights that engines should have; null if the version does not matter.
    const WeightsTargets *targets = nullptr;
    /// Engines are skipped if their weights would have been outdated for longer than this when they
    /// begin to answer.
    std::chrono::milliseconds maxOutdatedTime {0};
    /// Engines are also skipped if their weights have been outdated for longer than this already.
    std::chrono::milliseconds maxOutdatedTimeWhenSent {std::chrono::milliseconds::max()};
    unsigned slots = 1;
    /// Engine memory that the request is expected to occupy, and the total memory of an engine, in
    /// tokens.
    std::uint64_t memoryTokens = 0;
    std::uint64_t memoryCapacity = 0;
    /// Skips engines whose memory has no room for the prompt; null if they are not skipped.
    const Capacity::EngineMemory *memory = nullptr;
    /// The KV cache store of the session's parts; null if none answers.
    const KvCacheStore *store = nullptr;
    /// The rate at which engines transfer cached parts to each other; zero if they cannot.
    double fetchTokensPerMillisecond = 0;
    /// The rate at which the store transfers parts, without the wait for other transfers; zero if
    /// it is limited by the engines' links only.
    double storeTokensPerMillisecond = 0;
};

/// The chosen engine and the estimates for it.
struct EngineChoice
{
    std::shared_ptr<Upstream> upstream;
    /// Leading tokens of the prompt that are estimated to be in the engine's prefix cache.
    unsigned cachedTokens = 0;
    /// Another engine with the same weights to fetch cached parts from; null if a fetch is not
    /// worthwhile.
    std::shared_ptr<Upstream> source;
    /// Whether the KV cache store is the source instead.
    bool isFromStore = false;
    /// Whether the source is speculative, that is, it is not known to have the parts.
    bool isSpeculative = false;
    /// Leading tokens that are not expected to need prefill, including fetched ones.
    unsigned readyTokens = 0;
    /// The expected wait for the prompts ahead and for memory, without the prompt's own prefill.
    EngineModel::Milliseconds expectedWait {0};
    EngineModel::Milliseconds expectedFirstToken {0};
    /// The expected wait until the engine's memory has room; more than zero only if that of no
    /// candidate has room now, so that the prompt must not be sent yet. Contained in expectedWait.
    EngineModel::Milliseconds memoryWait {0};
};

/// Chooses the engine with the lowest cost: the expected time to the first token, plus the delay
/// that the prompt's prefill causes for other requests. This spreads bursts of requests whose
/// shared parts are cached at few engines. A session has a preferred engine, which all instances
/// derive by hashing without communication. If no engine is known to have a session's parts, the
/// chosen engine is instructed to query the preferred engine or the KV cache store: a miss costs a
/// millisecond, and another instance may have sent the same parts there.
std::optional<EngineChoice> chooseEngine(const UpstreamFleet::Members &members,
                                         const EngineModel &model, const EngineDemand &demand,
                                         const ChoiceLimits &limits);

/// Chooses the upstream with the lowest load and failure share; ties are broken at random.
std::shared_ptr<Upstream> chooseLeastLoaded(const UpstreamFleet::Members &members,
                                            const ChoiceLimits &limits, std::minstd_rand &random);

/// Returns whether the upstream may receive new requests.
bool mayReceiveRequests(const Upstream &upstream, const ChoiceLimits &limits);

} // namespace Gateway
