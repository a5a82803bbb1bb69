#pragma once

#include <LibClaims/ClaimKey.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace Claims {

/// How claims are batched into appends.
struct BatchSettings
{
    /// A batch closes when its first record has waited this long.
    std::chrono::milliseconds maxAge {2};
    /// Finished records alone close a batch only after this long, and otherwise travel with the
    /// next claims: nobody waits for them, and a crash in between leaves the key unknown.
    std::chrono::milliseconds maxFinishedAge {250};
    /// A batch closes at this many records.
    std::size_t maxRecords = 512;
    /// Appends of one partition that may be under way at once. More than one keeps an append whose
    /// answer hangs from holding up the claims behind it.
    std::size_t maxInFlight = 2;
    /// This instance's share of the appends a second that the log takes from the whole fleet.
    double appendsPerSecond = 40;
    /// Appends that may go at once after a quiet time.
    double appendBurst = 20;
    /// The first and the longest wait before a failed append is tried again.
    std::chrono::milliseconds minRetryDelay {50};
    std::chrono::milliseconds maxRetryDelay {2000};
};

/// Everything the claims of one instance are set by.
struct ClaimSettings
{
    KeyWindow window;
    /// Streams that keys are hashed to. The same on every instance of an environment. More
    /// partitions divide the index and the reading; fewer make larger batches and shorter waits.
    std::size_t partitions = 4;
    BatchSettings batch;
    /// How long a call waits for the log to decide its claim before it is refused.
    std::chrono::milliseconds claimTimeout {2000};
    /// How long a call waits for the holder of its key.
    std::chrono::milliseconds holderTimeout {5000};
    /// How often a call asks the holder of its key.
    std::chrono::milliseconds askInterval {100};
    /// Memory for stored answers.
    std::size_t answerBytes = 16U << 20;
    /// Part of the streams' names, so that trial and production never share a key.
    std::string environment;
};

} // namespace Claims
