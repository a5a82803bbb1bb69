#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/LogRecord.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Platform {

/// An in-memory append-only log with retention. Used by the embedded platform of small sites and by
/// the stand-ins. Thread-safe.
class InMemoryLog
{
public:
    /// Records older than the retention are dropped at the next append or read.
    InMemoryLog(const Core::Clock &clock, std::chrono::milliseconds retention);

    LogOffset append(const std::string &stream, std::string data);
    LogPage read(const std::string &stream, LogOffset from, std::size_t limit);

    /// Sets a hook that is called after each append, without the lock held, so that it can wake
    /// waiting readers.
    void setAppendHook(std::function<void(const std::string &stream)> hook);

private:
    struct Stream
    {
        LogOffset first = 0;
        std::deque<LogRecord> records;
    };

    void dropExpired(Stream &stream) const;

    const Core::Clock &m_clock;
    const std::chrono::milliseconds m_retention;
    std::mutex m_mutex;
    std::unordered_map<std::string, Stream> m_streams;
    std::function<void(const std::string &)> m_appendHook;
};

} // namespace Platform
