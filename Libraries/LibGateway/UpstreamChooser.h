#pragma once

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

/// What bounds the choice of an upstream for any request.
struct ChoiceLimits
{
    /// Requests that this instance may have at one upstream at once.
    unsigned maxInFlight = 1;
    /// Upstreams that already failed the request.
    std::set<Core::UpstreamId> excluded;
    Core::Clock::Monotonic now;
};

/// A prompt that wants an engine.
struct EngineDemand
{
    std::span<const PromptPart> parts;
    unsigned promptTokens = 0;
    /// Of the last part that other requests share; equal for all requests of one session.
    std::uint64_t affinityKey = 0;
    unsigned sharedTokens = 0;
    /// Whether engines read it before what is less urgent.
    bool isUrgent = false;
    std::string model;
    /// The weights that were named; null when none matter.
    const WeightsTargets *targets = nullptr;
    /// Engines whose weights have been outdated for longer are passed over.
    std::chrono::milliseconds maxOutdatedTime {0};
    unsigned slots = 1;
    /// Tokens of an engine's memory that the request will hold, and all that an engine has.
    std::uint64_t memoryTokens = 0;
    std::uint64_t memoryCapacity = 0;
    /// The store for the session's parts; null when there is none that answers.
    const KvCacheStore *store = nullptr;
    /// How fast engines pass cached parts to each other; zero when they cannot.
    double fetchTokensPerMillisecond = 0;
};

/// An engine and what is expected of it.
struct EngineChoice
{
    std::shared_ptr<Upstream> upstream;
    /// Leading tokens of the prompt that it is believed to keep.
    unsigned cachedTokens = 0;
    /// Another engine with the same weights that keeps more, or may; null when fetching does not
    /// pay.
    std::shared_ptr<Upstream> source;
    /// Whether the store of parts holds more, and is the source instead.
    bool isFromStore = false;
    /// Whether the source is only guessed to have what others may have read.
    bool isSpeculative = false;
    /// Leading tokens that are believed to need no reading, with what is fetched.
    unsigned readyTokens = 0;
    EngineModel::Milliseconds expectedFirst {0};
};

/// Chooses the engine with the least cost: the expected time to the first token, and the time that
/// reading the prompt there takes from others. Answers load that comes in bursts while shared parts
/// lie at few engines; sessions keep to a preferred engine that all instances agree on without
/// talking. Where nobody is known to keep a session's parts, the engine is told to ask its
/// preferred engine or the store: a fetch in vain costs a millisecond, and other instances may have
/// had the parts read.
std::optional<EngineChoice> chooseEngine(const UpstreamFleet::Members &members,
                                         const EngineModel &model, const EngineDemand &demand,
                                         const ChoiceLimits &limits);

/// Chooses the upstream with the least work and the fewest failures; equal ones at random.
std::shared_ptr<Upstream> chooseService(const UpstreamFleet::Members &members,
                                        const ChoiceLimits &limits, std::minstd_rand &random);

/// Whether anything new may go to the upstream at all.
bool mayReceiveRequests(const Upstream &upstream, const ChoiceLimits &limits);

} // namespace Gateway
