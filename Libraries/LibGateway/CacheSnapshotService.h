#pragma once

#include <LibGateway/FleetLog.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/UpstreamFleet.h>

namespace Gateway {

/// Keeps the newest snapshot of the cached parts in the store, so that an instance that
/// starts need not learn them anew, even when all instances start at once. One instance writes.
class CacheSnapshotService
{
public:
    struct Dependencies
    {
        FleetLog &log;
        const FleetMembers &members;
        UpstreamFleet &fleet;
        KvCacheStores &stores;
        const Core::Clock &clock;
    };

    explicit CacheSnapshotService(Dependencies dependencies);

    /// Takes over the snapshot once the upstreams are known, and then writes in its turn until the
    /// process ends.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> restore();
    boost::asio::awaitable<void> write();
    /// Between two snapshots of this instance.
    std::chrono::milliseconds writeInterval() const;

    Dependencies m_dependencies;
    bool m_isRestored = false;
};

} // namespace Gateway
