#pragma once

#include <atomic>
#include <cstdint>

namespace Claims {

/// What claims cost and how calls ended, for the metrics and the capacity page. Safe to read from
/// any thread.
struct ClaimCounters
{
    std::atomic<std::uint64_t> appends {0};
    std::atomic<std::uint64_t> appendBytes {0};
    std::atomic<std::uint64_t> failedAppends {0};
    /// Records sent to the log, by repeated appends counted again.
    std::atomic<std::uint64_t> records {0};
    /// Claims handed to the writer.
    std::atomic<std::uint64_t> claims {0};
    std::atomic<std::uint64_t> voids {0};
    /// Calls answered, and those among them whose key's status was given as unknown.
    std::atomic<std::uint64_t> outcomes {0};
    std::atomic<std::uint64_t> unknownKeys {0};
    std::atomic<std::uint64_t> malformed {0};
    std::atomic<std::uint64_t> rebuilds {0};
};

} // namespace Claims
