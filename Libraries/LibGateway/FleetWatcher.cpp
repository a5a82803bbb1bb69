#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SharedLog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// A long poll without new records returns after this time, which determines the age of the
// configuration.
constexpr auto OperatorLongPollTime = 1'000ms;
constexpr auto UpstreamsLongPollTime = 2'000ms;
// Minimum interval between two reads, so that immediate answers cannot turn the loop into a busy
// loop.
constexpr auto MinReadInterval = 20ms;
constexpr auto MinRetryPause = 100ms;
constexpr auto MaxRetryPause = 300ms;

std::chrono::milliseconds retryPause()
{
    thread_local std::minstd_rand random {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> pause(MinRetryPause.count(), MaxRetryPause.count());
    return std::chrono::milliseconds(pause(random));
}

std::string text(std::chrono::nanoseconds age)
{
    if (age == std::chrono::nanoseconds::max())
        return "none";
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

} // namespace

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

FleetWatcher::FleetWatcher(Dependencies dependencies, std::function<void()> onConfigurationChanged)
    : m_dependencies(dependencies)
    , m_onConfigurationChanged(std::move(onConfigurationChanged))
{ }

void FleetWatcher::noteStoreStatus(FleetTopic topic, bool isAnswering, const std::string &reason)
{
    auto &isDown = m_isDown[topic];
    if (!isAnswering && topic == FleetTopic::Upstreams)
        m_outages.noteFailure(m_dependencies.clock.now());
    if (isDown == !isAnswering)
        return;
    isDown = !isAnswering;
    const std::string name(nameOf(topic));
    if (isDown)
        Core::logEvent(Core::EventId::PlatformUnavailable, {{"log", name}, {"reason", reason}});
    else
        Core::logEvent(Core::EventId::PlatformBack, {{"log", name}});
}

asio::awaitable<void> FleetWatcher::watchOperator()
{
    for (;;) {
        std::string reason;
        try {
            co_await followOperator();
        } catch (const Core::Error &error) {
            reason = error.what();
        }
        if (!reason.empty()) {
            noteStoreStatus(FleetTopic::Operator, false, reason);
            co_await sleepFor(retryPause());
        }
    }
}

asio::awaitable<void> FleetWatcher::followOperator()
{
    for (;;) {
        FleetPage page;
        if (m_nextOperator)
            page = co_await m_dependencies.log.read(FleetTopic::Operator, *m_nextOperator,
                                                    OperatorLongPollTime);
        else
            page = co_await m_dependencies.log.newest(FleetTopic::Operator);
        applyOperatorPage(page);
        co_await sleepFor(MinReadInterval);
    }
}

void FleetWatcher::applyOperatorPage(const FleetPage &page)
{
    noteStoreStatus(FleetTopic::Operator, true, {});
    if (page.isHistoryTruncated) {
        m_nextOperator.reset();
        return;
    }
    for (const auto &record : page.records)
        applyOperator(record, page.isFromSibling ? "sibling" : "store");
    m_nextOperator = page.next;
    if (page.isComplete)
        m_dependencies.configuration.confirm(page.asOf);
}

void FleetWatcher::applyOperator(const FleetRecord &record, std::string_view source)
{
    if (!record.value)
        return;
    auto decoded = m_dependencies.decoder.decodeOperator(record);
    if (!decoded) {
        Core::logEvent(Core::EventId::ConfigurationRefused,
                       {{"key", record.key}, {"reason", decoded.error().detail()}});
        return;
    }
    if (const auto *target = std::get_if<WeightsTarget>(&decoded.value())) {
        applyTarget(*target);
        return;
    }
    auto *configuration = std::get_if<GatewayConfiguration>(&decoded.value());
    if (!configuration)
        return;
    const auto version = configuration->version;
    if (!m_dependencies.configuration.adopt(
            std::make_shared<const GatewayConfiguration>(std::move(*configuration))))
        return;
    Core::logEvent(
        Core::EventId::ConfigurationInForce,
        {{"version", std::to_string(version)},
         {"source", std::string(source)},
         {"previous_read_ms", text(m_dependencies.configuration.age(m_dependencies.clock.now()))}});
    m_onConfigurationChanged();
}

std::chrono::milliseconds FleetWatcher::assumedWeightsAge() const
{
    return m_dependencies.settings.weightsBound / 2;
}

void FleetWatcher::applyTarget(const WeightsTarget &target)
{
    // The record was accepted after the previous read, which did not contain it.
    const auto now = m_dependencies.clock.now();
    const auto age = m_dependencies.configuration.age(now);
    WeightsTargets::Target entry {target.version, now - age, now};
    if (age > assumedWeightsAge()) {
        // It may have been named at any time before this instance started, or in an outage.
        entry.namedAt = now - assumedWeightsAge();
        entry.evidence = WeightsTargets::Evidence::Assumed;
    }
    if (!m_dependencies.weights.addTarget(target.model, entry))
        return;
    Core::logEvent(Core::EventId::WeightsNamed, {{"model", target.model},
                                                 {"version", std::to_string(target.version)},
                                                 {"previous_read_ms", text(age)}});
}

asio::awaitable<void> FleetWatcher::watchUpstreams()
{
    for (;;) {
        std::string reason;
        try {
            co_await followUpstreams();
        } catch (const Core::Error &error) {
            reason = error.what();
        }
        if (!reason.empty()) {
            noteStoreStatus(FleetTopic::Upstreams, false, reason);
            co_await sleepFor(retryPause());
        }
    }
}

asio::awaitable<void> FleetWatcher::followUpstreams()
{
    const auto executor = co_await asio::this_coro::executor;
    for (;;) {
        FleetPage page;
        if (m_nextUpstreams)
            page = co_await m_dependencies.log.read(FleetTopic::Upstreams, *m_nextUpstreams,
                                                    UpstreamsLongPollTime);
        else
            page = co_await m_dependencies.log.newest(FleetTopic::Upstreams);
        applyUpstreamsPage(page);
        if (!m_pendingRemovals.empty() && !std::exchange(m_isRemovalScheduled, true))
            Core::spawnLoop(executor, "removal of upstreams",
                            [this] { return removePendingInTime(); });
        co_await sleepFor(MinReadInterval);
    }
}

asio::awaitable<void> FleetWatcher::removePendingInTime()
{
    using std::chrono::milliseconds;
    while (!m_pendingRemovals.empty()) {
        const auto rest = m_outages.registrationEnd() - m_dependencies.clock.now();
        co_await sleepFor(std::max(std::chrono::ceil<milliseconds>(rest), MinRetryPause));
        applyPendingRemovals();
    }
    m_isRemovalScheduled = false;
}

void FleetWatcher::dropUnlisted(const FleetPage &page)
{
    // Upstreams that are missing in the new list were removed while nothing was read.
    std::set<std::string> listed;
    for (const auto &record : page.records)
        listed.insert(record.key);
    std::vector<std::string> missing;
    for (const auto &[id, upstream] : m_dependencies.fleet.all()) {
        if (!listed.contains(id.value()))
            missing.push_back(id.value());
    }
    for (const auto &id : missing)
        applyUpstream({0, id, std::nullopt});
}

void FleetWatcher::applyUpstreamsPage(const FleetPage &page)
{
    noteStoreStatus(FleetTopic::Upstreams, true, {});
    m_outages.noteFailure(page.lastStoreFailure);
    m_outages.noteAnswer(std::max(page.asOf, page.answeredAt),
                         m_dependencies.settings.reportInterval);
    if (m_nextUpstreams && page.next.era() > m_nextUpstreams->era())
        m_outages.noteLostEntries(m_dependencies.clock.now());
    if (page.isHistoryTruncated) {
        m_nextUpstreams.reset();
        return;
    }
    if (!m_nextUpstreams)
        dropUnlisted(page);
    for (const auto &record : page.records)
        applyUpstream(record);
    m_nextUpstreams = page.next;
    if (page.isComplete)
        m_dependencies.fleet.confirm(page.asOf);
    applyPendingRemovals();
}

void FleetWatcher::applyUpstream(const FleetRecord &record)
{
    if (!record.value) {
        removeUpstream(record.key);
        return;
    }
    auto report = m_dependencies.decoder.decodeUpstream(record);
    if (!report) {
        Core::logEvent(Core::EventId::UpstreamEntryInvalid,
                       {{"key", record.key}, {"reason", report.error().detail()}});
        return;
    }
    report.value().position = record.position;
    if (m_dependencies.fleet.apply(std::move(report.value())))
        m_pendingRemovals.erase(record.key);
}

void FleetWatcher::removeUpstream(const std::string &key)
{
    const auto now = m_dependencies.clock.now();
    if (!m_outages.mayRegisterAgain(now)) {
        m_dependencies.fleet.remove(Core::UpstreamId(key));
        return;
    }
    if (!m_dependencies.fleet.find(Core::UpstreamId(key)) || !m_pendingRemovals.insert(key).second)
        return;
    Core::logEvent(Core::EventId::UpstreamRemovalDelayed,
                   {{"upstream", key},
                    {"failure_age_ms", text(now - m_outages.lastFailure())},
                    {"list_age_ms", text(m_dependencies.fleet.age(now))}});
}

void FleetWatcher::applyPendingRemovals()
{
    // No upstream can register again while the store is unavailable.
    if (m_isDown[FleetTopic::Upstreams] || m_outages.mayRegisterAgain(m_dependencies.clock.now()))
        return;
    for (const auto &id : std::exchange(m_pendingRemovals, {}))
        m_dependencies.fleet.remove(Core::UpstreamId(id));
}

} // namespace Gateway
