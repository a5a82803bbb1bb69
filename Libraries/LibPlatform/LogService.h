#pragma once

#include <LibPlatform/LogRecord.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace Platform {

/// The platform's append-only log service: named streams of records in one total order each.
/// Both calls throw Error(PlatformUnavailable) when no answer came; an append may then have
/// taken effect all the same.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends one record and returns its offset.
    virtual boost::asio::awaitable<LogOffset> append(std::string stream, std::string data) = 0;

    /// Reads up to limit records from the given offset on. With nothing to read, waits for a
    /// record for at most the given time.
    virtual boost::asio::awaitable<LogPage>
    read(std::string stream, LogOffset from, std::size_t limit, std::chrono::milliseconds wait) = 0;
};

} // namespace Platform
