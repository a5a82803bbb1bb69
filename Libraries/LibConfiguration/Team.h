#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Configuration {

/// A team that calls with a bearer key.
struct Team
{
    Core::TeamId id;
    /// Lower-case hexadecimal SHA-256 digests of the bearer keys. There are two during a key
    /// rotation.
    std::vector<std::string> keyHashes;
    /// The team's weight relative to the other teams in a priority class.
    std::uint32_t entitlementWeight = 1;
    /// Limits for the whole environment; 0 means no limit.
    std::uint32_t requestsPerSecond = 0;
    std::uint64_t tokensPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
};

} // namespace Configuration
