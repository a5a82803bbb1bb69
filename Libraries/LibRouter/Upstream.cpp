#include <LibRouter/Upstream.h>

namespace Router {

Upstream::Upstream(Core::UpstreamId id, Core::UpstreamGroupId group, Core::DataCentreId dataCentre,
                   Http::Endpoint endpoint, std::uint64_t incarnation)
    : m_id(std::move(id))
    , m_group(std::move(group))
    , m_dataCentre(std::move(dataCentre))
    , m_endpoint(std::move(endpoint))
    , m_incarnation(incarnation)
{ }

bool Upstream::noteIncarnation(std::uint64_t incarnation)
{
    auto known = m_incarnation.load();
    while (incarnation > known) {
        if (m_incarnation.compare_exchange_weak(known, incarnation))
            return true;
    }
    return false;
}

} // namespace Router
