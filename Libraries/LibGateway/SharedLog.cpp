#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SharedLog.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A sibling without useful data is queried again after this time.
constexpr auto SkipTime = 2'000ms;
// While reads of the store fail and siblings have recent data, the store is read again after this
// fraction of the maximum age of the log; for the list of upstreams, the first time after a shorter
// one.
constexpr int RetriesPerMaxAge = 2;
constexpr int FirstRetriesPerMaxAge = 8;
constexpr milliseconds MaxStoreRetryPause {3'000};
// A list of the newest records may have several pages, so it is late after this fraction.
constexpr int LateListsPerMaxAge = 4;
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
// a read of the store. In a large fleet, data passes two siblings.
constexpr int ReadsPerMaxAge = 4;
constexpr double MaxAgeShare = 0.6;
// Readers leave a stale source before their followers leave them.
constexpr double ReaderMaxAgeShare = 0.5;
constexpr int SiblingWaitsPerMaxAge = 8;
constexpr int LargeFleetSiblingWaitsPerMaxAge = 10;
// A starting instance asks siblings this often and this long before it reads the store. When all
// instances start at once, the readers know the records by then.
constexpr auto StartPollInterval = 100ms;
constexpr unsigned MaxStartPolls = 10;
// When a read takes this much longer than its wait, a sibling is queried, and the read is repeated.
constexpr auto LateAnswerTime = 300ms;
// Several answers in a row may be lost.
constexpr int MaxRepeats = 2;
// The members become known when the journal has been read up to the own announcement.
constexpr auto MembersPollInterval = 20ms;
constexpr unsigned MaxMembersPolls = 20;
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

/// A read of the store that can be cancelled while the caller waits for it.
struct SharedLog::PendingRead
{
    explicit PendingRead(const asio::any_io_executor &executor)
        : done(executor)
    { }

    /// Waits for the end of the read; returns whether it has ended in time.
    asio::awaitable<bool> awaitEnd(milliseconds time)
    {
        if (isDone)
            co_return true;
        done.expires_after(time);
        boost::system::error_code ec;
        co_await done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        co_return isDone;
    }

    /// Ends the call, and with it its connection.
    void cancel() { cancellation.emit(asio::cancellation_type::terminal); }

    asio::cancellation_signal cancellation;
    asio::steady_timer done;
    bool isDone = false;
    Core::Clock::Monotonic requestTime;
    std::exception_ptr failure;
    FleetPage page;
};

SharedLog::SharedLog(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

std::size_t SharedLog::readersPerDataCentre() const
{
    return m_dependencies.members.isLarge() ? LargeFleetReaders : Readers;
}

bool SharedLog::isReader() const
{
    return m_dependencies.members.reachableBefore(ReadersKey,
                                                  m_dependencies.members.self().dataCentre)
           < readersPerDataCentre();
}

std::vector<std::string> SharedLog::readingDataCentres() const
{
    std::vector<std::string> names {m_dependencies.members.self().dataCentre};
    for (const auto &[name, members] : m_dependencies.members.remoteMembers())
        names.push_back(name);
    std::sort(names.begin(), names.end(), [](const auto &left, const auto &right) {
        const auto key = Core::hash64(ReadersKey);
        return Core::hash64(left, key) < Core::hash64(right, key);
    });
    names.resize(std::min(names.size(), ReadingDataCentres));
    return names;
}

bool SharedLog::readsStore() const
{
    if (!m_dependencies.members.isLarge())
        return isReader();
    if (m_dependencies.members.reachableBefore(ReadersKey, m_dependencies.members.self().dataCentre)
        > 0)
        return false;
    const auto names = readingDataCentres();
    return std::find(names.begin(), names.end(), m_dependencies.members.self().dataCentre)
           != names.end();
}

bool SharedLog::mayHaveFollowers() const
{
    return m_dependencies.members.isLarge()
           || m_dependencies.members.localMembers().size() + 1 > Readers;
}

milliseconds SharedLog::siblingWait(FleetTopic topic) const
{
    return maxAgeOf(topic)
           / (m_dependencies.members.isLarge() ? LargeFleetSiblingWaitsPerMaxAge
                                               : SiblingWaitsPerMaxAge);
}

void SharedLog::noteStoreCall(FleetTopic topic, std::string_view call) const
{
    Core::logEvent(Core::EventId::StoreCalled,
                   {{"log", std::string(nameOf(topic))}, {"call", std::string(call)}});
    if (onStoreCall)
        onStoreCall(topic, call);
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
    // A read that hangs keeps the list from becoming newer.
    if (!mayHaveFollowers() && topic != FleetTopic::Upstreams)
        return requested;
    const auto cycle = maxAgeOf(topic) / ReadsPerMaxAge;
    // Data that passes two siblings has to be newer, so the pause between reads counts as well.
    const auto pause = m_dependencies.members.isLarge() ? storeReadPause(topic) : 0ms;
    return std::min(requested, std::max(0ms, cycle - pause));
}

milliseconds SharedLog::storeRetryPause(FleetTopic topic) const
{
    const auto maxPause = std::min(maxAgeOf(topic) / RetriesPerMaxAge, MaxStoreRetryPause);
    // Only the age of the list of upstreams has no other limit.
    if (topic != FleetTopic::Upstreams)
        return maxPause;
    auto pause = maxAgeOf(topic) / FirstRetriesPerMaxAge;
    for (unsigned n = 1; n < m_topics.at(topic).failedStoreReads && pause < maxPause; ++n)
        pause *= 2;
    return std::min(pause, maxPause);
}

asio::awaitable<FleetPage> SharedLog::newest(FleetTopic topic)
{
    // Snapshots are large, so siblings do not pass them on.
    if (topic != FleetTopic::CacheSnapshots) {
        if (auto page = co_await newestFromSiblings(topic))
            co_return std::move(*page);
    }
    const auto executor = co_await asio::this_coro::executor;
    auto read = startStoreRead(executor, topic, "newest", m_dependencies.store.newest(topic));
    const bool isInTime = co_await read->awaitEnd(maxAgeOf(topic) / LateListsPerMaxAge);
    if (!isInTime) {
        logLateRead(topic, read->requestTime);
        std::function<asio::awaitable<FleetPage>()> call = [this, topic] {
            return m_dependencies.store.newest(topic);
        };
        read = co_await repeatRead(std::move(read), topic, "newest", std::move(call));
    }
    auto page = co_await finishRead(std::move(read));
    page.answeredAt = m_dependencies.clock.now();
    page.lastStoreFailure = m_topics[topic].lastStoreFailure;
    m_dependencies.relay.tail(topic).restart(page);
    co_return page;
}

asio::awaitable<std::optional<FleetPage>> SharedLog::newestFromSiblings(FleetTopic topic)
{
    for (unsigned n = 0; !m_dependencies.members.isSelfAnnounced() && n < MaxMembersPolls; ++n)
        co_await sleepFor(MembersPollInterval);
    for (unsigned n = 0; m_dependencies.members.isLarge() && n < MaxStartPolls; ++n) {
        if (n > 0)
            co_await sleepFor(StartPollInterval);
        auto siblings = preferredSiblings();
        std::erase_if(siblings, [this](const auto &it) { return isSkipped(it); });
        if (siblings.empty())
            co_return std::nullopt;
        const auto &sibling = siblings[Core::hash64(m_dependencies.members.self().instance.value())
                                       % siblings.size()];
        std::string reason;
        try {
            auto page = co_await m_dependencies.relay.queryNewest(sibling.endpoint, topic);
            page.asOf = std::min(page.asOf, m_dependencies.clock.now());
            if (isUseful(topic, page)) {
                noteEra(page.next);
                m_dependencies.relay.tail(topic).restart(page);
                noteSource(topic, sibling.instance, "the log is read through a sibling");
                co_return page;
            }
        } catch (const Core::Error &error) {
            reason = error.what();
        }
        // A sibling that answers without data is starting, too.
        if (reason.find("status 404") == std::string::npos)
            m_skippedUntil[sibling.instance] = m_dependencies.clock.now() + SkipTime;
    }
    co_return std::nullopt;
}

asio::awaitable<FleetPage> SharedLog::read(FleetTopic topic, LogPosition from, milliseconds wait)
{
    auto &state = m_topics[topic];
    const bool mayWait = wait > 0ms;
    const auto isStoreDue = [&] { return m_dependencies.clock.now() >= state.nextStoreRead; };
    if (mayWait && (state.isStoreFailing ? !isStoreDue() : !readsStore())) {
        if (auto page = co_await readSiblings(topic, from, std::min(wait, siblingWait(topic))))
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

std::shared_ptr<SharedLog::PendingRead>
SharedLog::startStoreRead(const asio::any_io_executor &executor, FleetTopic topic,
                          std::string_view name, asio::awaitable<FleetPage> call)
{
    noteStoreCall(topic, name);
    auto read = std::make_shared<PendingRead>(executor);
    read->requestTime = m_dependencies.clock.now();
    auto finish = [read](std::exception_ptr failure, FleetPage page) {
        read->isDone = true;
        read->failure = std::move(failure);
        read->page = std::move(page);
        read->done.cancel();
    };
    asio::co_spawn(executor, std::move(call),
                   asio::bind_cancellation_slot(read->cancellation.slot(), std::move(finish)));
    return read;
}

asio::awaitable<std::optional<FleetPage>> SharedLog::readNewerFromSibling(FleetTopic topic,
                                                                          LogPosition from)
{
    const auto known = m_dependencies.relay.tail(topic).asOf();
    auto page = co_await readSiblings(topic, from, 0ms);
    if (page && page->asOf <= known)
        page.reset();
    co_return page;
}

asio::awaitable<std::shared_ptr<SharedLog::PendingRead>>
SharedLog::repeatRead(std::shared_ptr<PendingRead> late, FleetTopic topic, std::string_view name,
                      std::function<asio::awaitable<FleetPage>()> call)
{
    // A store that is known to fail gets no further calls.
    if (late->isDone || m_topics[topic].isStoreFailing)
        co_return late;
    late->cancel();
    // Other connections may have gone silent together with that of the late read.
    m_dependencies.store.dropIdleConnections();
    const auto executor = co_await asio::this_coro::executor;
    co_return startStoreRead(executor, topic, name, call());
}

asio::awaitable<FleetPage> SharedLog::finishRead(std::shared_ptr<PendingRead> read)
{
    constexpr auto Unlimited = 1h;
    while (!co_await read->awaitEnd(Unlimited)) { }
    if (read->failure)
        std::rethrow_exception(read->failure);
    noteEra(read->page.next);
    read->page.asOf = read->requestTime;
    co_return std::move(read->page);
}

asio::awaitable<FleetPage> SharedLog::readRepeatedly(FleetTopic topic, LogPosition from,
                                                     milliseconds wait)
{
    const auto executor = co_await asio::this_coro::executor;
    auto read =
        startStoreRead(executor, topic, "read", m_dependencies.store.read(topic, from, wait));
    // A store that is only slow has more time for the last repeat.
    const std::function<asio::awaitable<FleetPage>()> call = [this, topic, from] {
        return m_dependencies.store.read(topic, from, 0ms);
    };
    for (int n = 0; n < MaxRepeats; ++n) {
        const auto time = n == 0 ? wait + LateAnswerTime : LateAnswerTime;
        const bool isInTime = co_await read->awaitEnd(time);
        if (isInTime)
            break;
        logLateRead(topic, read->requestTime);
        if (auto page = co_await readNewerFromSibling(topic, from)) {
            read->cancel();
            co_return std::move(*page);
        }
        read = co_await repeatRead(std::move(read), topic, "read", call);
    }
    co_return co_await finishRead(std::move(read));
}

asio::awaitable<FleetPage> SharedLog::readStore(FleetTopic topic, LogPosition from,
                                                milliseconds wait)
{
    auto &state = m_topics[topic];
    std::optional<Core::Error> failure;
    try {
        auto page = co_await readRepeatedly(topic, from, wait);
        if (page.isFromSibling) {
            noteStoreFailure(topic);
            co_return page;
        }
        page.answeredAt = m_dependencies.clock.now();
        page.lastStoreFailure = state.lastStoreFailure;
        state.isStoreFailing = false;
        state.failedStoreReads = 0;
        state.nextStoreRead = m_dependencies.clock.now() + storeReadPause(topic);
        if (!page.isHistoryTruncated)
            m_dependencies.relay.tail(topic).extend(from, page);
        noteSource(topic, {}, "the store answers");
        co_return page;
    } catch (const Core::Error &error) {
        failure = error;
    }
    noteStoreFailure(topic);
    throw *failure;
}

void SharedLog::logLateRead(FleetTopic topic, Core::Clock::Monotonic requestTime)
{
    const auto now = m_dependencies.clock.now();
    const auto inMs = [](auto time) {
        return std::to_string(duration_cast<milliseconds>(time).count());
    };
    const auto known = m_dependencies.relay.tail(topic).asOf();
    Core::logEvent(
        Core::EventId::StoreReadLate,
        {{"log", std::string(nameOf(topic))},
         {"read_ms", inMs(now - requestTime)},
         {"age_ms", known == Core::Clock::Monotonic::min() ? "none" : inMs(now - known)}});
}

void SharedLog::noteStoreFailure(FleetTopic topic)
{
    auto &state = m_topics[topic];
    state.isStoreFailing = true;
    ++state.failedStoreReads;
    state.lastStoreFailure = m_dependencies.clock.now();
    state.nextStoreRead = state.lastStoreFailure + storeRetryPause(topic);
}

asio::awaitable<std::optional<FleetPage>>
SharedLog::readSiblings(FleetTopic topic, LogPosition from, milliseconds wait)
{
    auto &state = m_topics[topic];
    for (;;) {
        const auto sibling = chooseSibling(state);
        if (!sibling)
            co_return std::nullopt;
        auto page = co_await querySibling(*sibling, topic, from, wait);
        // While the store answers, its data is newer than that of another sibling. After an outage
        // for all, the siblings have nothing new, and there may be more of them than can be queried
        // before the first ones are tried again.
        const bool isStoreDue = m_dependencies.clock.now() >= state.nextStoreRead;
        if (page || !state.isStoreFailing || isStoreDue)
            co_return page;
    }
}

asio::awaitable<std::optional<FleetPage>>
SharedLog::querySibling(FleetMember sibling, FleetTopic topic, LogPosition from, milliseconds wait)
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
            page.isFromSibling = true;
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

std::vector<FleetMember> SharedLog::preferredSiblings() const
{
    const auto &members = m_dependencies.members;
    const auto &self = members.self();
    const auto names = readingDataCentres();
    const bool isReading = std::find(names.begin(), names.end(), self.dataCentre) != names.end();
    if (!members.isLarge() || !isReader() || isReading) {
        auto readers = members.reachable(ReadersKey, self.dataCentre);
        // The second reader of a reading data centre queries the first one.
        const auto count = members.isLarge() && isReader() ? 1 : readersPerDataCentre();
        readers.resize(std::min(readers.size(), count));
        return readers;
    }
    std::vector<FleetMember> readers;
    // Whether the members of another data centre are reachable is not known. Any of them has the
    // records that its own data centre's readers have passed on.
    for (const auto &name : names) {
        const auto others = members.ranked(ReadersKey, name);
        if (!others.empty())
            readers.push_back(others.front());
    }
    return readers;
}

bool SharedLog::isSkipped(const FleetMember &member) const
{
    const auto it = m_skippedUntil.find(member.instance);
    return it != m_skippedUntil.end() && it->second > m_dependencies.clock.now();
}

std::optional<FleetMember> SharedLog::chooseSibling(const TopicState &state) const
{
    // The preferred siblings come first; the others are only used when the store does not answer.
    auto members = preferredSiblings();
    if (state.isStoreFailing) {
        const auto others = m_dependencies.members.reachable(ReadersKey, std::nullopt);
        members.insert(members.end(), others.begin(), others.end());
    }
    std::erase_if(members, [this](const FleetMember &member) { return isSkipped(member); });
    if (members.empty())
        return std::nullopt;
    if (state.isStoreFailing)
        return members[m_siblingIndex % members.size()];
    // Each follower stays with one reader, and the followers are distributed over all readers.
    return members[Core::hash64(m_dependencies.members.self().instance.value()) % members.size()];
}

bool SharedLog::isUseful(FleetTopic topic, const FleetPage &page) const
{
    // What the sibling knows may be lost.
    if (page.next.era() < m_era)
        return false;
    const auto it = m_topics.find(topic);
    const bool isStoreFailing = it != m_topics.end() && it->second.isStoreFailing;
    auto share = isReader() ? ReaderMaxAgeShare : MaxAgeShare;
    if (isStoreFailing)
        share = MaxAgeShareWithoutStore;
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
                                                 std::optional<LogPosition> expectedEnd)
{
    noteStoreCall(topic, "append");
    const auto outcome = co_await m_dependencies.store.append(topic, std::move(value), expectedEnd);
    noteEra(outcome.position);
    co_return outcome;
}

} // namespace Gateway
