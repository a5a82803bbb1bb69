#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Platform {

/// A position in a stream of the log. Offsets start at 0 and grow by one a record.
using LogOffset = std::uint64_t;

/// One record as the log keeps it.
struct LogRecord
{
    LogOffset offset = 0;
    /// When the log took the record, by the log's own clock.
    std::chrono::system_clock::time_point time;
    std::string data;
};

/// What one read returns.
struct LogPage
{
    /// The lowest offset that retention has kept; greater than the offset asked for when records
    /// in between are gone.
    LogOffset first = 0;
    /// The offset that the next append will get.
    LogOffset next = 0;
    std::vector<LogRecord> records;
};

} // namespace Platform
