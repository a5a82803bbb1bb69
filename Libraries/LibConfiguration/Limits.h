#pragma once

#include <chrono>
#include <cstdint>

namespace Configuration {

/// Limits on callers' requests.
struct Limits
{
    std::uint32_t headerBytes = 0;
    std::uint32_t bodyBytes = 0;
    /// The maximum time to receive a request's headers.
    std::chrono::milliseconds headerTimeout {0};
    /// The maximum time to receive a request's body.
    std::chrono::milliseconds bodyTimeout {0};
    /// How long an idle connection is kept.
    std::chrono::milliseconds idleTimeout {0};
};

} // namespace Configuration
