#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Platform {

/// The position of a record in a stream. Offsets start at 0 and are consecutive.
using LogOffset = std::uint64_t;

/// One record of the log.
struct LogRecord
{
    LogOffset offset = 0;
    /// When the log stored the record, by the log's own clock.
    std::chrono::system_clock::time_point time;
    std::string data;
};

/// The result of one read.
struct LogPage
{
    /// The lowest retained offset. It is greater than the requested offset when records have been
    /// dropped.
    LogOffset first = 0;
    /// The offset that the next append will get.
    LogOffset next = 0;
    std::vector<LogRecord> records;
};

} // namespace Platform
