#include <LibCore/EventLog.h>
#include <LibGateway/CacheSnapshot.h>
#include <LibGateway/CacheSnapshotService.h>
#include <LibGateway/FleetWatcher.h>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto LookPause = 100ms;
// Engines turn over what they keep within some ten seconds; older snapshots tell little.
constexpr auto WritePause = 4'000ms;
// Stores of parts answer within this time after a start; what they hold counts only then.
constexpr auto StoresGrace = 1'500ms;
constexpr auto WriterKey = "beliefs";

} // namespace

CacheSnapshotService::CacheSnapshotService(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

std::chrono::milliseconds CacheSnapshotService::pause() const
{
    // In a large fleet each data centre has a writer, as only its siblings are heard.
    const auto writers =
        m_dependencies.members.isLarge() ? m_dependencies.members.elsewhere().size() + 1 : 1;
    return WritePause * static_cast<int>(writers);
}

asio::awaitable<void> CacheSnapshotService::run()
{
    while (!m_hasTaken) {
        co_await sleepFor(LookPause);
        if (!m_dependencies.fleet.all().empty())
            co_await takeOver();
    }
    for (;;) {
        co_await sleepFor(pause());
        if (m_dependencies.members.reachableBefore(WriterKey) == 0)
            co_await write();
    }
}

asio::awaitable<void> CacheSnapshotService::takeOver()
{
    const auto begin = m_dependencies.clock.now();
    const auto isAwaited = [this] {
        for (const auto &[holder, store] : m_dependencies.stores.all()) {
            if (!store.isAnswering())
                return true;
        }
        return false;
    };
    while (isAwaited() && m_dependencies.clock.now() - begin < StoresGrace)
        co_await sleepFor(LookPause);
    std::string failure;
    try {
        const auto page = co_await m_dependencies.log.newest(FleetTopic::CacheSnapshots);
        m_hasTaken = true;
        for (const auto &record : page.records) {
            if (!record.value)
                continue;
            const auto taken =
                applyCacheSnapshot(*record.value, m_dependencies.fleet, m_dependencies.stores);
            Core::logEvent(Core::EventId::SnapshotTaken,
                           {{"log", "beliefs"}, {"parts", std::to_string(taken)}});
        }
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    if (failure.empty())
        co_return;
    Core::logEvent(Core::EventId::PlatformUnavailable, {{"log", "beliefs"}, {"reason", failure}});
    co_await sleepFor(WritePause);
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
