#pragma once

#include <LibPlatform/InstanceList.h>
#include <LibPlatform/PlatformClient.h>

namespace Platform {

/// Reads the instance list over the platform's HTTP interface (docs/STAND-INS.md).
class HttpInstanceDirectory final : public InstanceDirectory
{
public:
    HttpInstanceDirectory(const Http::Endpoint &endpoint, std::chrono::milliseconds limit);

    boost::asio::awaitable<InstanceList> list() override;

private:
    PlatformClient m_client;
};

} // namespace Platform
