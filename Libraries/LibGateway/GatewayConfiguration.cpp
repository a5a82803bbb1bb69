#include <LibCore/Hash.h>
#include <LibGateway/GatewayConfiguration.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace Gateway {

namespace {

/// Returns the cache scope of the tenants that are not isolated. It depends on which ones are, so
/// that the parts that a tenant cached before it became isolated are not found any more.
std::string sharedCacheScope(const std::vector<Tenant> &tenants)
{
    std::set<std::string> isolated;
    for (const auto &tenant : tenants) {
        if (tenant.isIsolated)
            isolated.insert(tenant.name);
    }
    std::uint64_t digest = 0;
    for (const auto &name : isolated)
        digest = Core::hash64(name, digest);
    return isolated.empty() ? "shared" : "shared." + std::to_string(digest);
}

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

bool Route::mayRunAgain() const
{
    return kind == RequestKind::Repeatable || (kind == RequestKind::Stream && isResumable);
}

void GatewayConfiguration::buildIndexes()
{
    m_routesByHost.clear();
    m_tenantByKey.clear();
    m_sharedCacheScope = sharedCacheScope(tenants);
    for (std::size_t n = 0; n < routes.size(); ++n)
        m_routesByHost[hostName(routes[n].host)].push_back(n);
    for (auto &[host, indexes] : m_routesByHost) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
            return routes[left].pathPrefix.size() > routes[right].pathPrefix.size();
        });
    }
    for (std::size_t n = 0; n < tenants.size(); ++n) {
        for (const auto &key : tenants[n].keys)
            m_tenantByKey[key] = n;
    }
}

const Route *GatewayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(hostName(host));
    if (it == m_routesByHost.end())
        return nullptr;
    for (const auto index : it->second) {
        if (path.starts_with(routes[index].pathPrefix))
            return &routes[index];
    }
    return nullptr;
}

bool GatewayConfiguration::isUnreadable(std::string_view host, std::string_view path,
                                        const Route *found) const
{
    return std::any_of(
        unreadableRoutes.begin(), unreadableRoutes.end(), [&](const UnreadableRoute &route) {
            if (route.host && hostName(*route.host) != hostName(host))
                return false;
            if (!route.pathPrefix)
                return true;
            return path.starts_with(*route.pathPrefix)
                   && (!found || route.pathPrefix->size() >= found->pathPrefix.size());
        });
}

const Tenant *GatewayConfiguration::findTenant(std::string_view key) const
{
    const auto it = m_tenantByKey.find(std::string(key));
    return it == m_tenantByKey.end() ? nullptr : &tenants[it->second];
}

std::string GatewayConfiguration::cacheScope(const Tenant *tenant) const
{
    return tenant && tenant->isIsolated ? "team." + tenant->name : m_sharedCacheScope;
}

const Service *GatewayConfiguration::findService(const std::string &name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

} // namespace Gateway
