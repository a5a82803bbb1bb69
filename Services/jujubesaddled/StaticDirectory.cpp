#include <jujubesaddled/StaticDirectory.h>

namespace Daemon {

StaticDirectory::StaticDirectory(const std::vector<StaticUpstream> &upstreams,
                                 const Core::DataCentreId &dataCentre)
{
    for (const auto &upstream : upstreams) {
        Platform::ListedInstance listed;
        listed.id = upstream.group.value() + '@' + Http::formatEndpoint(upstream.endpoint);
        listed.dataCentre = dataCentre;
        listed.group = upstream.group;
        listed.address = upstream.endpoint;
        m_list.instances.push_back(std::move(listed));
    }
}

boost::asio::awaitable<Platform::InstanceList> StaticDirectory::list()
{
    co_return m_list;
}

} // namespace Daemon
