#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Gateway {

/// A request that was lost because its upstream crashed before the upstream had shown that it can
/// answer it.
struct Casualty
{
    /// Identifies the crash, see crashIdentity().
    std::uint64_t crash = 0;
    /// The digest of the request, equal for all its attempts.
    std::uint64_t request = 0;
    /// Hashes of the ids of the prompt's parts, without the last one; empty if it has no others.
    std::vector<std::uint64_t> parts;
    /// Whether the upstream had begun to answer the request.
    bool hasBegun = false;
    /// A hash of the attempt's id, which is not equal for two requests of the same digest; 0 if
    /// unknown.
    std::uint64_t attempt = 0;

    /// Returns what tells the casualty from others of the crash.
    std::uint64_t identity() const { return attempt ? attempt : request; }
};

/// Returns what identifies the crash of an upstream that started at the given time, equal at all
/// instances.
std::uint64_t crashIdentity(const Core::UpstreamId &upstream, std::chrono::milliseconds startTime);

} // namespace Gateway
