#include <LibCore/Hash.h>
#include <LibGateway/KvCacheStores.h>

#include <algorithm>

namespace Gateway {

void KvCacheStores::configure(const std::vector<StoreConfiguration> &configurations)
{
    Stores stores;
    for (const auto &configuration : configurations) {
        const auto holder = KvCacheStore::holderOf(configuration.endpoint);
        if (auto known = m_stores.extract(holder))
            stores.insert(std::move(known));
        auto &store = stores.try_emplace(holder, configuration.endpoint).first->second;
        store.setCapacity(configuration.capacityTokens);
        store.setDataCentre(configuration.dataCentre);
        store.setLinkMegabits(configuration.linkMegabits);
    }
    m_stores = std::move(stores);
    std::erase_if(m_lastSeen, [this](const auto &item) { return !m_stores.contains(item.first); });
}

KvCacheStore *KvCacheStores::storeFor(std::uint64_t sessionKey)
{
    KvCacheStore *best = nullptr;
    std::uint64_t bestRank = 0;
    for (auto &[holder, store] : m_stores) {
        const auto rank = Core::hash64(Http::formatEndpoint(store.endpoint()), sessionKey);
        if (!store.isAnswering() || (best && rank <= bestRank))
            continue;
        best = &store;
        bestRank = rank;
    }
    return best;
}

KvCacheStore *KvCacheStores::find(std::uint64_t holder)
{
    const auto it = m_stores.find(holder);
    return it == m_stores.end() ? nullptr : &it->second;
}

bool KvCacheStores::noteAnswer(std::uint64_t holder, std::uint64_t epoch,
                               Core::Clock::Monotonic now)
{
    auto *store = find(holder);
    if (!store)
        return false;
    m_lastSeen[holder] = now;
    return store->noteAnswer(epoch);
}

std::vector<std::uint64_t> KvCacheStores::dropSilent(std::chrono::milliseconds timeout,
                                                     Core::Clock::Monotonic now)
{
    std::vector<std::uint64_t> silent;
    for (auto &[holder, store] : m_stores) {
        if (store.isAnswering() && now - m_lastSeen[holder] > timeout && store.noteSilence())
            silent.push_back(holder);
    }
    return silent;
}

} // namespace Gateway
