#pragma once

#include <atomic>
#include <cstdint>

namespace Claims {

/// Counters of claim traffic and call outcomes, for metrics and capacity planning. Safe to read
/// from any thread.
struct ClaimCounters
{
    std::atomic<std::uint64_t> appends {0};
    std::atomic<std::uint64_t> appendBytes {0};
    std::atomic<std::uint64_t> failedAppends {0};
    /// Records sent to the log. Records of repeated appends are counted each time.
    std::atomic<std::uint64_t> records {0};
    /// Claims passed to the writer.
    std::atomic<std::uint64_t> claims {0};
    std::atomic<std::uint64_t> voids {0};
    /// Calls answered.
    std::atomic<std::uint64_t> outcomes {0};
    /// Calls answered with an unknown execution status of their key.
    std::atomic<std::uint64_t> unknownKeys {0};
    /// Appends read from the log that could not be decoded.
    std::atomic<std::uint64_t> malformed {0};
    /// Times an index was rebuilt because records were missing.
    std::atomic<std::uint64_t> rebuilds {0};
};

} // namespace Claims
