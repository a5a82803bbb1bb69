#pragma once

#include <LibPlatform/LogService.h>
#include <LibPlatform/PlatformClient.h>

namespace Platform {

/// The log service over the platform's HTTP interface (docs/STAND-INS.md).
class HttpLogService final : public LogService
{
public:
    HttpLogService(const Http::Endpoint &endpoint, std::chrono::milliseconds limit);

    boost::asio::awaitable<LogOffset> append(std::string stream, std::string data) override;
    boost::asio::awaitable<LogPage> read(std::string stream, LogOffset from, std::size_t limit,
                                         std::chrono::milliseconds wait) override;

private:
    PlatformClient m_client;
};

} // namespace Platform
