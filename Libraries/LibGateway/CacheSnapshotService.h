#pragma once

#include <LibGateway/FleetLog.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/UpstreamFleet.h>

namespace Gateway {

/// Writes snapshots of the prefix-cache estimates to the log, so that an instance can restore them
/// at its start even when all instances restart at once. One instance of the fleet writes; in a
/// large fleet, one of each data centre.
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

    /// Restores the snapshot once the upstreams are known, then writes snapshots whenever this
    /// instance is the writer. Runs until the process ends.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> restore();
    boost::asio::awaitable<void> write();
    /// Returns the interval between two snapshots written by this instance.
    std::chrono::milliseconds writeInterval() const;

    Dependencies m_dependencies;
    bool m_isRestored = false;
};

} // namespace Gateway
