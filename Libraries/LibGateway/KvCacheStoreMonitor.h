#pragma once

#include <LibGateway/EngineControl.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace Gateway {

/// Keeps in touch with the stores of prompt parts. A store bears only some calls at once, so a few
/// instances ask each store and tell the others.
class KvCacheStoreMonitor
{
public:
    struct Dependencies
    {
        KvCacheStores &stores;
        EngineControl &engines;
        const FleetMembers &members;
        const Core::Clock &clock;
    };

    explicit KvCacheStoreMonitor(Dependencies dependencies);

    /// Works until the process ends.
    boost::asio::awaitable<void> run();

    /// Called when a store answered this instance, in the life with this epoch.
    std::function<void(std::uint64_t holder, std::uint64_t epoch)> onAnswer;

private:
    /// Whether this instance is one of the few that ask the store.
    bool isRequester(const KvCacheStore &store) const;
    boost::asio::awaitable<void> pollStore(std::uint64_t holder);
    boost::asio::awaitable<void> query(Http::Endpoint endpoint, std::uint64_t &position);

    Dependencies m_dependencies;
    std::set<std::uint64_t> m_polled;
};

} // namespace Gateway
