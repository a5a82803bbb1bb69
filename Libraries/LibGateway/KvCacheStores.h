#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/KvCacheStore.h>

#include <functional>
#include <map>
#include <string>

namespace Gateway {

/// The KV cache stores of a site: none, one or several. Each session is mapped to one of them by a
/// hash, which gives the same result at all instances without communication.
class KvCacheStores
{
public:
    struct StoreConfiguration
    {
        Http::Endpoint endpoint;
        std::uint64_t capacityTokens = 0;
        std::string dataCentre;
        /// The speed of the store's link; 0 if unknown.
        double linkMegabits = 0;
    };
    /// The stores by the identifier that KvCacheStore::holderOf() returns.
    using Stores = std::map<std::uint64_t, KvCacheStore>;

    /// Sets the configured stores. Stores that were configured before retain their state.
    void configure(const std::vector<StoreConfiguration> &configurations);
    /// Returns the store for the parts of a session, among those that answer; null when none
    /// answers.
    KvCacheStore *storeFor(std::uint64_t sessionKey);
    /// Returns null when no such store is configured.
    KvCacheStore *find(std::uint64_t holder);
    const Stores &all() const { return m_stores; }

    /// Records an answer of the store with its epoch, received directly or reported by a sibling.
    /// Returns whether anything changed.
    bool noteAnswer(std::uint64_t holder, std::uint64_t epoch, Core::Clock::Monotonic now);
    /// Marks the stores as not answering that were last seen longer ago than the timeout. Returns
    /// their identifiers.
    std::vector<std::uint64_t> dropSilent(std::chrono::milliseconds timeout,
                                          Core::Clock::Monotonic now);

private:
    Stores m_stores;
    std::map<std::uint64_t, Core::Clock::Monotonic> m_lastSeen;
};

} // namespace Gateway
