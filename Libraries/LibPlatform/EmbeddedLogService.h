#pragma once

#include <LibPlatform/InMemoryLog.h>
#include <LibPlatform/LogService.h>

namespace Platform {

/// An in-process log service for sites without a platform. Its records are lost when the process
/// ends, so a call with an idempotency key from before a restart can run again.
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
