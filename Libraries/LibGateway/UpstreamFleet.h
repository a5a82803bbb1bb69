#pragma once

#include <LibGateway/Upstream.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// The upstreams of all services, as listed in the log.
class UpstreamFleet
{
public:
    using Members = std::vector<std::shared_ptr<Upstream>>;

    /// Adds or updates an upstream. Reports older than the known one are ignored.
    void apply(UpstreamReport report);
    /// Removes an upstream that is no longer listed.
    void remove(const Core::UpstreamId &id);

    /// Records that the list was complete at the given time.
    void confirm(Core::Clock::Monotonic time) { m_asOf = std::max(m_asOf, time); }
    /// Returns how old the list is; the maximum duration before the first read.
    std::chrono::nanoseconds age(Core::Clock::Monotonic now) const;

    /// Returns the upstreams of a service, including draining ones.
    const Members &members(const std::string &service) const;
    std::shared_ptr<Upstream> find(const Core::UpstreamId &id) const;
    /// Finds an upstream by the hashOf() its id, which siblings use in their updates.
    std::shared_ptr<Upstream> findByHash(std::uint64_t hash) const;
    static std::uint64_t hashOf(const Core::UpstreamId &id);
    const std::map<Core::UpstreamId, std::shared_ptr<Upstream>> &all() const { return m_all; }

private:
    void removeFromService(const std::shared_ptr<Upstream> &upstream);

    std::map<Core::UpstreamId, std::shared_ptr<Upstream>> m_all;
    std::map<std::string, Members> m_byService;
    std::unordered_map<std::uint64_t, std::shared_ptr<Upstream>> m_byHash;
    Core::Clock::Monotonic m_asOf = Core::Clock::Monotonic::min();
};

} // namespace Gateway
