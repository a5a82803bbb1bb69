#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/KvCacheStoreMonitor.h>

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto CheckInterval = 200ms;
// The interval between two calls of one instance. The calls themselves are long polls.
constexpr auto QueryInterval = 400ms;
// Two requesters cover the failure of the third.
constexpr std::size_t RequestersPerStore = 3;
// A store is considered lost only after several queries of all requesters failed or their reports
// were lost.
constexpr auto StoreTimeout = 2'500ms;

} // namespace

KvCacheStoreMonitor::KvCacheStoreMonitor(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

bool KvCacheStoreMonitor::isRequester(const KvCacheStore &store) const
{
    // In a large fleet only the datagrams of the same data centre arrive, so each data centre needs
    // its own requesters.
    const auto dataCentres =
        m_dependencies.members.isLarge() ? m_dependencies.members.remoteMembers().size() + 1 : 1;
    const auto maxRequesters = std::max<std::size_t>(1, RequestersPerStore / dataCentres);
    return m_dependencies.members.reachableBefore(Http::formatEndpoint(store.endpoint()))
           < maxRequesters;
}

asio::awaitable<void> KvCacheStoreMonitor::run()
{
    for (;;) {
        for (const auto &[holder, store] : m_dependencies.stores.all()) {
            if (!isRequester(store) || !m_polled.insert(holder).second)
                continue;
            Core::spawnLoop(co_await asio::this_coro::executor, "KV cache store",
                            [this, id = holder] { return pollStore(id); });
        }
        for (const auto holder :
             m_dependencies.stores.dropSilent(StoreTimeout, m_dependencies.clock.now()))
            Core::logEvent(
                Core::EventId::PartStoreLost,
                {{"store", Http::formatEndpoint(m_dependencies.stores.find(holder)->endpoint())},
                 {"reason", "no answer from the store and no report from a sibling"}});
        co_await sleepFor(CheckInterval);
    }
}

asio::awaitable<void> KvCacheStoreMonitor::pollStore(std::uint64_t holder)
{
    std::uint64_t position = 0;
    for (;;) {
        const auto *store = m_dependencies.stores.find(holder);
        if (!store || !isRequester(*store))
            break;
        co_await query(store->endpoint(), position);
        co_await sleepFor(QueryInterval);
    }
    m_polled.erase(holder);
}

asio::awaitable<void> KvCacheStoreMonitor::query(Http::Endpoint endpoint, std::uint64_t &position)
{
    const auto holder = KvCacheStore::holderOf(endpoint);
    std::string failure;
    try {
        const auto epoch = co_await m_dependencies.engines.storeEpoch(endpoint, position);
        if (m_dependencies.stores.noteAnswer(holder, epoch, m_dependencies.clock.now()))
            Core::logEvent(Core::EventId::PartStoreBack, {{"store", Http::formatEndpoint(endpoint)},
                                                          {"life", std::to_string(epoch)}});
        if (onAnswer)
            onAnswer(holder, epoch);
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    if (failure.empty())
        co_return;
    position = 0;
    auto *store = m_dependencies.stores.find(holder);
    if (store && store->noteSilence())
        Core::logEvent(Core::EventId::PartStoreLost,
                       {{"store", Http::formatEndpoint(endpoint)}, {"reason", failure}});
}

} // namespace Gateway
