#pragma once

#include <LibGateway/Upstream.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// The upstreams of all services, as their list tells.
class UpstreamFleet
{
public:
    using Members = std::vector<std::shared_ptr<Upstream>>;

    /// Takes one entry of the list. An entry older than what is known changes nothing.
    void apply(UpstreamReport report);
    /// Takes an upstream off the list.
    void remove(const Core::UpstreamId &id);

    /// The upstreams of a service, draining ones included.
    const Members &members(const std::string &service) const;
    std::shared_ptr<Upstream> find(const Core::UpstreamId &id) const;
    /// Finds an upstream by hashOf() its id, as siblings name it.
    std::shared_ptr<Upstream> findByHash(std::uint64_t hash) const;
    static std::uint64_t hashOf(const Core::UpstreamId &id);
    const std::map<Core::UpstreamId, std::shared_ptr<Upstream>> &all() const { return m_all; }

private:
    void removeFromService(const std::shared_ptr<Upstream> &upstream);

    std::map<Core::UpstreamId, std::shared_ptr<Upstream>> m_all;
    std::map<std::string, Members> m_byService;
    std::unordered_map<std::uint64_t, std::shared_ptr<Upstream>> m_byHash;
};

} // namespace Gateway
