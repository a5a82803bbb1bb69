#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SharedLog.h>

#include <algorithm>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A sibling without useful data is queried again after this time.
constexpr auto SkipTime = 2'000ms;
// After a failed read, the store is read again after this time while siblings have recent data.
constexpr auto StoreRetryPause = 3'000ms;
constexpr auto ReadersKey = "log readers";

// Upstream reports and journal records arrive continuously. Reading them in batches reduces the
// number of calls, and the drain bound is long enough for it.
constexpr std::chrono::milliseconds UpstreamsPause = 800ms;
constexpr std::chrono::milliseconds JournalPause = 1'000ms;
// Leases and upstream failures may be learned late; the store itself is queried before a lease is
// acquired.
constexpr std::chrono::milliseconds JournalMaxAge = 10'000ms;
// Fractions of the maximum age of a log. A reader with followers reads the store this often, a
// follower accepts data up to this age, and a sibling holds a call this long. The rest is left for
// a read of the store.
constexpr int ReadsPerMaxAge = 4;
constexpr double MaxAgeShare = 0.6;
constexpr int SiblingWaitsPerMaxAge = 8;
// An instance that the store rejects accepts older data. The data of a sibling without followers,
// whose store reads are long polls, occasionally exceeds the maximum age. Keys are checked against
// the age of the data in any case.
constexpr double MaxAgeShareWithoutStore = 2;

} // namespace

std::string_view nameOf(FleetTopic topic)
{
    switch (topic) {
    case FleetTopic::Operator:
        return "operator";
    case FleetTopic::Upstreams:
        return "upstreams";
    case FleetTopic::Journal:
        return "journal";
    case FleetTopic::CacheSnapshots:
        break;
    }
    return "beliefs";
}

SharedLog::SharedLog(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

bool SharedLog::isReader() const
{
    return m_dependencies.members.reachableBefore(ReadersKey,
                                                  m_dependencies.members.self().dataCentre)
           < Readers;
}

bool SharedLog::mayHaveFollowers() const
{
    return m_dependencies.members.localMembers().size() + 1 > Readers;
}

milliseconds SharedLog::maxAgeOf(FleetTopic topic) const
{
    switch (topic) {
    case FleetTopic::Operator:
        return m_dependencies.settings.configurationBound;
    case FleetTopic::Upstreams:
        return m_dependencies.settings.drainBound;
    case FleetTopic::Journal:
    case FleetTopic::CacheSnapshots:
        break;
    }
    return JournalMaxAge;
}

milliseconds SharedLog::storeReadPause(FleetTopic topic) const
{
    const auto maxPause = mayHaveFollowers() ? maxAgeOf(topic) / ReadsPerMaxAge : maxAgeOf(topic);
    switch (topic) {
    case FleetTopic::Upstreams:
        return std::min(UpstreamsPause, maxPause);
    case FleetTopic::Journal:
        return JournalPause;
    case FleetTopic::Operator:
    case FleetTopic::CacheSnapshots:
        break;
    }
    return 0ms;
}

milliseconds SharedLog::storeReadWait(FleetTopic topic, milliseconds requested) const
{
    if (m_topics.at(topic).isStoreFailing)
        return 0ms;
    return mayHaveFollowers() ? std::min(requested, maxAgeOf(topic) / ReadsPerMaxAge) : requested;
}

asio::awaitable<FleetPage> SharedLog::newest(FleetTopic topic)
{
    const auto requestTime = m_dependencies.clock.now();
    auto page = co_await m_dependencies.store.newest(topic);
    page.asOf = requestTime;
    page.lastStoreFailure = m_topics[topic].lastStoreFailure;
    m_dependencies.relay.tail(topic).restart(page.next);
    co_return page;
}

asio::awaitable<FleetPage> SharedLog::read(FleetTopic topic, std::uint64_t from, milliseconds wait)
{
    auto &state = m_topics[topic];
    const bool mayWait = wait > 0ms;
    const auto isStoreDue = [&] { return m_dependencies.clock.now() >= state.nextStoreRead; };
    if (mayWait && (state.isStoreFailing ? !isStoreDue() : !isReader())) {
        if (auto page = co_await readSiblings(
                topic, from, std::min(wait, maxAgeOf(topic) / SiblingWaitsPerMaxAge)))
            co_return std::move(*page);
    }
    if (mayWait && !state.isStoreFailing && !isStoreDue())
        co_await sleepFor(
            duration_cast<milliseconds>(state.nextStoreRead - m_dependencies.clock.now()));
    std::optional<Core::Error> failure;
    try {
        co_return co_await readStore(topic, from, mayWait ? storeReadWait(topic, wait) : 0ms);
    } catch (const Core::Error &error) {
        failure = error;
    }
    if (auto page = co_await readSiblings(topic, from, 0ms))
        co_return std::move(*page);
    throw *failure;
}

asio::awaitable<FleetPage> SharedLog::readStore(FleetTopic topic, std::uint64_t from,
                                                milliseconds wait)
{
    auto &state = m_topics[topic];
    const auto requestTime = m_dependencies.clock.now();
    std::optional<Core::Error> failure;
    try {
        auto page = co_await m_dependencies.store.read(topic, from, wait);
        page.asOf = requestTime;
        page.lastStoreFailure = state.lastStoreFailure;
        state.isStoreFailing = false;
        state.nextStoreRead = m_dependencies.clock.now() + storeReadPause(topic);
        if (!page.isHistoryTruncated)
            m_dependencies.relay.tail(topic).extend(from, page);
        noteSource(topic, {}, "the store answers");
        co_return page;
    } catch (const Core::Error &error) {
        failure = error;
    }
    state.isStoreFailing = true;
    state.lastStoreFailure = m_dependencies.clock.now();
    state.nextStoreRead = state.lastStoreFailure + StoreRetryPause;
    throw *failure;
}

asio::awaitable<std::optional<FleetPage>>
SharedLog::readSiblings(FleetTopic topic, std::uint64_t from, milliseconds wait)
{
    auto &state = m_topics[topic];
    for (;;) {
        const auto sibling = chooseSibling(state);
        if (!sibling)
            co_return std::nullopt;
        auto page = co_await querySibling(*sibling, topic, from, wait);
        // While the store answers, its data is newer than that of another sibling.
        if (page || !state.isStoreFailing)
            co_return page;
    }
}

asio::awaitable<std::optional<FleetPage>> SharedLog::querySibling(FleetMember sibling,
                                                                  FleetTopic topic,
                                                                  std::uint64_t from,
                                                                  milliseconds wait)
{
    std::string reason = "the sibling's data is too old";
    try {
        auto page = co_await m_dependencies.relay.query(sibling.endpoint, topic, from, wait);
        page.asOf = std::min(page.asOf, m_dependencies.clock.now());
        if (isUseful(topic, page)) {
            // Another sibling may have read the store since.
            if (page.asOf <= m_dependencies.relay.tail(topic).asOf())
                ++m_siblingIndex;
            m_dependencies.relay.tail(topic).extend(from, page);
            noteSource(topic, sibling.instance, "the log is read through a sibling");
            co_return page;
        }
    } catch (const Core::Error &error) {
        reason = error.what();
    }
    m_skippedUntil[sibling.instance] = m_dependencies.clock.now() + SkipTime;
    Core::logEvent(Core::EventId::SiblingPassedOver, {{"sibling", sibling.instance.value()},
                                                      {"log", std::string(nameOf(topic))},
                                                      {"reason", reason}});
    co_return std::nullopt;
}

std::optional<FleetMember> SharedLog::chooseSibling(const TopicState &state) const
{
    const auto &self = m_dependencies.members.self();
    // Siblings in the same data centre come first; the others are only used when the store does not
    // answer.
    auto members = m_dependencies.members.reachable(ReadersKey, self.dataCentre);
    members.resize(std::min(members.size(), Readers));
    if (state.isStoreFailing) {
        const auto others = m_dependencies.members.reachable(ReadersKey, std::nullopt);
        members.insert(members.end(), others.begin(), others.end());
    }
    const auto now = m_dependencies.clock.now();
    std::erase_if(members, [&](const FleetMember &member) {
        const auto it = m_skippedUntil.find(member.instance);
        return it != m_skippedUntil.end() && it->second > now;
    });
    if (members.empty())
        return std::nullopt;
    if (state.isStoreFailing)
        return members[m_siblingIndex % members.size()];
    // Each follower stays with one reader, and the followers are distributed over all readers.
    return members[Core::hash64(self.instance.value()) % members.size()];
}

bool SharedLog::isUseful(FleetTopic topic, const FleetPage &page) const
{
    const auto share = m_topics.at(topic).isStoreFailing ? MaxAgeShareWithoutStore : MaxAgeShare;
    return m_dependencies.clock.now() - page.asOf <= share * maxAgeOf(topic);
}

void SharedLog::noteSource(FleetTopic topic, const Core::InstanceId &source,
                           const std::string &reason)
{
    auto &state = m_topics[topic];
    // The sibling changes often while the store rejects this instance, so only changes between the
    // store and siblings are logged.
    const bool isSameKind = state.source.isEmpty() == source.isEmpty();
    state.source = source;
    if (isSameKind)
        return;
    Core::logEvent(Core::EventId::LogSourceChanged,
                   {{"log", std::string(nameOf(topic))},
                    {"source", source.value().empty() ? "store" : source.value()},
                    {"reason", reason}});
}

asio::awaitable<AppendOutcome> SharedLog::append(FleetTopic topic, std::string value,
                                                 std::optional<std::uint64_t> expectedEnd)
{
    co_return co_await m_dependencies.store.append(topic, std::move(value), expectedEnd);
}

} // namespace Gateway
