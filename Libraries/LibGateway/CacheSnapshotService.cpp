#include <LibCore/EventLog.h>
#include <LibGateway/CacheSnapshot.h>
#include <LibGateway/CacheSnapshotService.h>
#include <LibGateway/FleetWatcher.h>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 100ms;
// Engines replace the contents of their prefix caches within about ten seconds, so older snapshots
// are of little use.
constexpr auto WriteInterval = 4'000ms;
// KV cache stores answer within this time after the start. Their entries can only be applied once
// their epoch is known.
constexpr auto StoresTimeout = 1'500ms;
constexpr auto WriterKey = "beliefs";

} // namespace

CacheSnapshotService::CacheSnapshotService(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

std::chrono::milliseconds CacheSnapshotService::writeInterval() const
{
    // In a large fleet each data centre has its own writer, because instances only receive
    // datagrams from their own data centre.
    const auto writers =
        m_dependencies.members.isLarge() ? m_dependencies.members.remoteMembers().size() + 1 : 1;
    return WriteInterval * static_cast<int>(writers);
}

asio::awaitable<void> CacheSnapshotService::run()
{
    while (!m_isRestored) {
        co_await sleepFor(PollInterval);
        if (!m_dependencies.fleet.all().empty())
            co_await restore();
    }
    for (;;) {
        co_await sleepFor(writeInterval());
        if (m_dependencies.members.reachableBefore(WriterKey) == 0)
            co_await write();
    }
}

asio::awaitable<void> CacheSnapshotService::restore()
{
    const auto begin = m_dependencies.clock.now();
    const auto isStorePending = [this] {
        for (const auto &[holder, store] : m_dependencies.stores.all()) {
            if (!store.isAnswering())
                return true;
        }
        return false;
    };
    while (isStorePending() && m_dependencies.clock.now() - begin < StoresTimeout)
        co_await sleepFor(PollInterval);
    std::string failure;
    try {
        const auto page = co_await m_dependencies.log.newest(FleetTopic::CacheSnapshots);
        m_isRestored = true;
        for (const auto &record : page.records) {
            if (!record.value)
                continue;
            const auto applied =
                applyCacheSnapshot(*record.value, m_dependencies.fleet, m_dependencies.stores);
            Core::logEvent(Core::EventId::SnapshotTaken,
                           {{"log", "beliefs"}, {"parts", std::to_string(applied)}});
        }
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    if (failure.empty())
        co_return;
    Core::logEvent(Core::EventId::PlatformUnavailable, {{"log", "beliefs"}, {"reason", failure}});
    co_await sleepFor(WriteInterval);
}

asio::awaitable<void> CacheSnapshotService::write()
{
    auto snapshot = encodeCacheSnapshot(m_dependencies.fleet, m_dependencies.stores);
    if (snapshot.empty())
        co_return;
    std::string failure;
    try {
        co_await m_dependencies.log.append(FleetTopic::CacheSnapshots, std::move(snapshot),
                                           std::nullopt);
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    if (!failure.empty())
        Core::logEvent(Core::EventId::PlatformUnavailable,
                       {{"log", "beliefs"}, {"reason", failure}});
}

} // namespace Gateway
