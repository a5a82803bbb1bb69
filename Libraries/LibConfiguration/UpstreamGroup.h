#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <cstdint>

namespace Configuration {

enum class UpstreamKind {
    Engine,
    Service,
};

/// A group of interchangeable upstreams. The platform's instance list says which processes belong
/// to it in an environment.
struct UpstreamGroup
{
    Core::UpstreamGroupId id;
    UpstreamKind kind = UpstreamKind::Engine;
    /// How many requests one worker runs at a time.
    std::uint32_t slotsPerWorker = 1;
    /// The length of one cache piece, in tokens. Engines only.
    std::uint32_t pieceTokens = 0;
    /// Whether the upstreams refuse an order that carries an old fencing number.
    bool checksFencing = false;
    /// How many workers may load weights at a time. Engines only.
    std::uint32_t concurrentWeightLoads = 0;
    /// How many requests may wait before the group over all classes, per instance.
    std::uint32_t queueRequests = 0;
    /// Retries as a share of recent successes.
    Share retryBudget;
    /// Retries a second that are always allowed, so that a quiet group can still retry.
    std::uint32_t retriesPerSecond = 0;
};

} // namespace Configuration
