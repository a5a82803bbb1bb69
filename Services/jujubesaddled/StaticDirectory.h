#pragma once

#include <LibPlatform/InstanceList.h>

#include <jujubesaddled/Settings.h>

namespace Daemon {

/// The instance list of the embedded platform: the upstreams named in the settings.
class StaticDirectory final : public Platform::InstanceDirectory
{
public:
    StaticDirectory(const std::vector<StaticUpstream> &upstreams,
                    const Core::DataCentreId &dataCentre);

    boost::asio::awaitable<Platform::InstanceList> list() override;

private:
    Platform::InstanceList m_list;
};

} // namespace Daemon
