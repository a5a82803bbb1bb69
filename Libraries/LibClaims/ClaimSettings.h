#pragma once

#include <LibClaims/ClaimKey.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace Claims {

/// Settings for batching claim records into appends.
struct BatchSettings
{
    /// A batch is appended when one of its records has waited this long.
    std::chrono::milliseconds maxAge {2};
    /// Finished records are appended with the next claims, or on their own after this long. No
    /// caller waits for them; if the instance crashes first, the key's status remains unknown.
    std::chrono::milliseconds maxFinishedAge {250};
    /// A batch is appended when it has this many records.
    std::size_t maxRecords = 512;
    /// Maximum number of concurrent appends per partition. With more than one, an append whose
    /// acknowledgement is delayed does not block the claims queued after it.
    std::size_t maxInFlight = 2;
    /// This instance's share of the append rate, per second, that the log allows for the whole
    /// fleet.
    double appendsPerSecond = 40;
    /// Maximum number of appends in a burst after an idle period.
    double appendBurst = 20;
    /// Minimum and maximum delay before a failed append is retried. The delay doubles each time.
    std::chrono::milliseconds minRetryDelay {50};
    std::chrono::milliseconds maxRetryDelay {2000};
};

/// Settings for the claims of one instance.
struct ClaimSettings
{
    KeyWindow window;
    /// Number of streams over which keys are hashed. Must be the same on all instances of an
    /// environment. More partitions split the index and the reads further; fewer give larger
    /// batches and shorter waits.
    std::size_t partitions = 4;
    BatchSettings batch;
    /// How long a call waits for the log's verdict on its claim before it is refused.
    std::chrono::milliseconds claimTimeout {2000};
    /// How long a call waits for the holder of its key.
    std::chrono::milliseconds holderTimeout {5000};
    /// Interval between queries of a call to the holder of its key.
    std::chrono::milliseconds askInterval {100};
    /// Maximum size of all stored answers in bytes.
    std::size_t answerBytes = 16U << 20;
    /// Part of the stream names, so that test and production environments never share a key.
    std::string environment;
};

} // namespace Claims
