#pragma once

#include <chrono>
#include <cstdint>

namespace Configuration {

/// Limits on what callers send.
struct Limits
{
    std::uint32_t headerBytes = 0;
    std::uint32_t bodyBytes = 0;
    /// The longest time for a request's headers to arrive.
    std::chrono::milliseconds headerTimeout {0};
    /// The longest time for a request's body to arrive.
    std::chrono::milliseconds bodyTimeout {0};
    /// How long an idle connection is kept.
    std::chrono::milliseconds idleTimeout {0};
};

} // namespace Configuration
