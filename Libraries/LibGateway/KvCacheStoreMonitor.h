#pragma once

#include <LibGateway/EngineControl.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace Gateway {

/// Checks whether the KV cache stores answer. A store handles only a few concurrent calls, so a few
/// instances query each store and publish the result to the others.
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

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

    /// Called when a store answered this instance, with the epoch of the store.
    std::function<void(std::uint64_t holder, std::uint64_t epoch)> onAnswer;

private:
    /// Returns whether this instance is one of the few that query the store.
    bool isRequester(const KvCacheStore &store) const;
    boost::asio::awaitable<void> pollStore(std::uint64_t holder);
    boost::asio::awaitable<void> query(Http::Endpoint endpoint, std::uint64_t &position);

    Dependencies m_dependencies;
    std::set<std::uint64_t> m_polled;
};

} // namespace Gateway
