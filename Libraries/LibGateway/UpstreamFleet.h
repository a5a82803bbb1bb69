#pragma once

#include <LibGateway/IncarnationNotices.h>
#include <LibGateway/ReportHistory.h>
#include <LibGateway/Upstream.h>

#include <algorithm>
#include <chrono>
#include <deque>
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

    /// Adds or updates an upstream. Reports that are older than the known one are ignored, as are
    /// those of a removed upstream that are not newer than its last one. Returns whether the report
    /// is newer than all known ones.
    bool apply(UpstreamReport report);
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
    /// What is remembered of an upstream while it is not listed.
    struct History
    {
        ReportHistory reports;
        IncarnationNotices notices;
    };

    void removeFromService(const std::shared_ptr<Upstream> &upstream);

    /// Forgets the histories of the upstreams that were removed first when there are too many.
    void forgetRemoved();

    std::map<Core::UpstreamId, std::shared_ptr<Upstream>> m_all;
    std::map<Core::UpstreamId, History> m_histories;
    /// The removed upstreams in the order of their removal; some may be listed again.
    std::deque<Core::UpstreamId> m_removed;
    std::map<std::string, Members> m_byService;
    std::unordered_map<std::uint64_t, std::shared_ptr<Upstream>> m_byHash;
    Core::Clock::Monotonic m_asOf = Core::Clock::Monotonic::min();
};

} // namespace Gateway
