#pragma once

#include <LibPlatform/InMemoryLog.h>
#include <LibPlatform/LogService.h>

namespace Platform {

/// A log service inside the process, for sites without a platform. It forgets everything when the
/// process ends, so that a key used before a restart can run again after it.
class EmbeddedLogService final : public LogService
{
public:
    explicit EmbeddedLogService(InMemoryLog &log);

    boost::asio::awaitable<LogOffset> append(std::string stream, std::string data) override;
    boost::asio::awaitable<LogPage> read(std::string stream, LogOffset from, std::size_t limit,
                                         std::chrono::milliseconds wait) override;

private:
    InMemoryLog &m_log;
};

} // namespace Platform
