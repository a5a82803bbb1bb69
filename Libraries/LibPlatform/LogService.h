#pragma once

#include <LibPlatform/LogRecord.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace Platform {

/// The platform's append-only log service. Each named stream is a totally ordered sequence of
/// records. Both functions throw Error(PlatformUnavailable) when there is no answer; an append may
/// have taken effect in that case.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends one record and returns its offset.
    virtual boost::asio::awaitable<LogOffset> append(std::string stream, std::string data) = 0;

    /// Reads up to limit records starting at the given offset. If there are none, waits up to the
    /// given time for a record.
    virtual boost::asio::awaitable<LogPage>
    read(std::string stream, LogOffset from, std::size_t limit, std::chrono::milliseconds wait) = 0;
};

} // namespace Platform
