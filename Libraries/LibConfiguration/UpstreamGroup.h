#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <cstdint>

namespace Configuration {

enum class UpstreamKind {
    Engine,
    Service,
};

/// A group of interchangeable upstreams. The platform's instance list determines its members in an
/// environment.
struct UpstreamGroup
{
    Core::UpstreamGroupId id;
    UpstreamKind kind = UpstreamKind::Engine;
    /// The number of requests that one worker runs concurrently.
    std::uint32_t slotsPerWorker = 1;
    /// The size of one cache block, in tokens. Engines only.
    std::uint32_t pieceTokens = 0;
    /// Whether the upstreams reject a command with an outdated fencing token.
    bool checksFencing = false;
    /// The number of workers that may load weights concurrently. Engines only.
    std::uint32_t concurrentWeightLoads = 0;
    /// The maximum number of queued requests of the group over all classes, per instance.
    std::uint32_t queueRequests = 0;
    /// The retry budget as a share of recent successes.
    Share retryBudget;
    /// Retries per second that are always allowed, so that a group with few requests can still
    /// retry.
    std::uint32_t retriesPerSecond = 0;
};

} // namespace Configuration
