#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/KvCacheStore.h>

#include <functional>
#include <map>

namespace Gateway {

/// The stores of cached prompt parts, of which a site has none, one or several. Each session's
/// parts go to one of them, on which all instances agree without talking.
class KvCacheStores
{
public:
    struct StoreConfiguration
    {
        Http::Endpoint endpoint;
        std::uint64_t capacityTokens = 0;
    };
    /// Stores by their holder, as KvCacheStore::holderOf() gives it.
    using Stores = std::map<std::uint64_t, KvCacheStore>;

    /// Sets which stores there are. Those that stay keep what is known of them.
    void configure(const std::vector<StoreConfiguration> &configurations);
    /// The store for a session's parts, among those that answer; null when none does.
    KvCacheStore *storeFor(std::uint64_t sessionKey);
    /// Null when no such store is configured.
    KvCacheStore *find(std::uint64_t holder);
    const Stores &all() const { return m_stores; }

    /// Notes an answer of the store in a life with this epoch, as seen here or told by a sibling.
    /// Returns whether anything changed.
    bool noteAnswer(std::uint64_t holder, std::uint64_t epoch, Core::Clock::Monotonic now);
    /// Stores that have not been heard of for this long are taken to be away. Returns their
    /// holders.
    std::vector<std::uint64_t> dropSilent(std::chrono::milliseconds timeout,
                                          Core::Clock::Monotonic now);

private:
    Stores m_stores;
    std::map<std::uint64_t, Core::Clock::Monotonic> m_lastSeen;
};

} // namespace Gateway
