#include <LibCore/EventLog.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/PoisonNews.h>

#include <algorithm>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto LongPollTime = 5'000ms;
constexpr auto RetryPause = 300ms;
// Minimum interval between two reads, so that immediate answers cannot turn the loop into a busy
// loop.
constexpr auto MinReadInterval = 20ms;
// An instance announces itself again before the log drops its last announcement and before the
// other members expire it.
constexpr double AnnounceRetentionShare = 0.6;
constexpr std::chrono::milliseconds MaxAnnounceInterval = FleetMembers::MemberTimeout / 3;
// In a large fleet a record is read up to six seconds after it was written, so a hub announces its
// members earlier, and a member that it left out announces itself before the log drops the record.
constexpr double HubIntervalFactor = 0.65;
constexpr double HubGraceFactor = 1.1;
constexpr std::chrono::milliseconds AnnouncePollInterval = 500ms;
// Causes that are found together are written in one record.
constexpr auto PoisonBatchInterval = 100ms;

std::string toBytes(flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Table>
std::string journalRecord(flatbuffers::FlatBufferBuilder &builder, Wire::Entry kind,
                          flatbuffers::Offset<Table> entry)
{
    builder.Finish(Wire::CreateJournalRecord(builder, kind, entry.Union()));
    return toBytes(builder);
}

std::string text(const flatbuffers::String *value)
{
    return value ? value->str() : std::string();
}

flatbuffers::Offset<Wire::Member> wireMember(flatbuffers::FlatBufferBuilder &builder,
                                             const FleetMember &member,
                                             flatbuffers::Offset<Wire::PoisonParts> poisonParts)
{
    return Wire::CreateMemberDirect(
        builder, member.instance.value().c_str(), member.dataCentre.c_str(),
        Http::formatEndpoint(member.endpoint).c_str(), nullptr, member.linkMegabits, poisonParts);
}

} // namespace

FleetJournal::FleetJournal(FleetLog &log, const Core::Clock &clock, const GatewaySettings &settings,
                           PoisonTable &poison, FleetMembers &members)
    : m_log(log)
    , m_clock(clock)
    , m_settings(settings)
    , m_poison(poison)
    , m_members(members)
    , m_lease(settings.instance)
{ }

asio::awaitable<void> FleetJournal::watch()
{
    for (;;) {
        bool isAnswering = true;
        try {
            co_await follow();
        } catch (const Core::Error &) {
            // FleetWatcher logs that the store is unavailable.
            isAnswering = false;
        }
        if (!isAnswering)
            co_await sleepFor(RetryPause);
    }
}

asio::awaitable<void> FleetJournal::follow()
{
    for (;;) {
        co_await readOnce(m_hasRead ? LongPollTime : 0ms);
        co_await sleepFor(MinReadInterval);
    }
}

asio::awaitable<void> FleetJournal::readOnce(std::chrono::milliseconds wait)
{
    const auto page = co_await m_log.read(FleetTopic::Journal, m_next, wait);
    for (const auto &record : page.records) {
        // Two reads may run concurrently and return the same record.
        if (record.position >= m_next)
            apply(record);
    }
    if (page.next.era() > m_next.era())
        noteNewEra();
    m_next = std::max(m_next, page.next);
    if (page.isHistoryTruncated)
        m_hasRead = false;
    else if (page.isComplete && page.next.era() == m_next.era())
        noteComplete(page.asOf);
}

void FleetJournal::noteNewEra()
{
    m_lease.noteNewEra(m_clock.now());
    // In a large fleet the hubs announce the others.
    if (!m_members.isLarge() || m_members.isHub())
        m_lastAnnounced = Core::Clock::Monotonic::min();
}

void FleetJournal::noteComplete(Core::Clock::Monotonic asOf)
{
    m_hasRead = true;
    m_readAsOf = std::max(asOf, m_readAsOf.value_or(asOf));
    if (onRead)
        onRead(*m_readAsOf);
}

void FleetJournal::apply(const FleetRecord &record)
{
    if (!record.value)
        return;
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(record.value->data());
    flatbuffers::Verifier verifier(bytes, record.value->size());
    if (!verifier.VerifyBuffer<Wire::JournalRecord>(nullptr)) {
        Core::logEvent(Core::EventId::LogRecordInvalid,
                       {{"log", "journal"}, {"offset", std::to_string(record.position.number())}});
        return;
    }
    const auto *entry = flatbuffers::GetRoot<Wire::JournalRecord>(bytes);
    if (const auto *member = entry->entry_as_Member())
        applyMember(*member, record.position);
    if (const auto *all = entry->entry_as_Members(); all && all->members()) {
        for (const auto *member : *all->members())
            applyMember(*member, record.position);
    }
    if (const auto *lease = entry->entry_as_Lease())
        m_lease.noteRecord(record.position, Core::InstanceId(text(lease->holder())), m_clock.now());
    if (const auto *parts = entry->entry_as_PoisonParts())
        applyPoison(*parts);
}

void FleetJournal::applyMember(const Wire::Member &member, LogPosition position)
{
    const Core::InstanceId instance(text(member.instance()));
    if (member.poison_parts())
        applyPoison(*member.poison_parts());
    if (instance == m_settings.instance) {
        m_members.noteSelfAnnounced();
        // The first records may be old, and those of an earlier process.
        if (m_readAsOf)
            noteAnnounced(*m_readAsOf);
        return;
    }
    auto endpoint = Http::parseEndpoint(text(member.endpoint()));
    if (instance.value().empty())
        endpoint = Core::Error(Core::ErrorKind::MalformedRequest, "a member has no name");
    if (endpoint)
        m_members.noteAnnounced(
            {instance, text(member.data_centre()), endpoint.value(), member.link_megabits()});
    else
        Core::logEvent(Core::EventId::LogRecordInvalid,
                       {{"log", "journal"},
                        {"offset", std::to_string(position.number())},
                        {"reason", endpoint.error().detail()}});
}

void FleetJournal::noteAnnounced(Core::Clock::Monotonic writtenAfter)
{
    m_lastAnnounced = m_clock.now();
    if (onAnnounced)
        onAnnounced(writtenAfter);
}

std::uint64_t FleetJournal::calendarMs() const
{
    const auto time = m_clock.wallNow().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

flatbuffers::Offset<Wire::PoisonParts>
FleetJournal::wirePoisonRecord(flatbuffers::FlatBufferBuilder &builder) const
{
    const auto parts = wirePoisonParts(m_poison, m_clock.now());
    return parts.empty() ? flatbuffers::Offset<Wire::PoisonParts>()
                         : Wire::CreatePoisonPartsDirect(builder, &parts, calendarMs());
}

void FleetJournal::applyPoison(const Wire::PoisonParts &record)
{
    if (!record.parts())
        return;
    if (record.parts()->size() > PoisonNews::MaxPoisonParts) {
        Core::logEvent(
            Core::EventId::LogRecordInvalid,
            {{"log", "journal"}, {"poison_parts", std::to_string(record.parts()->size())}});
        return;
    }
    const auto now = calendarMs();
    const std::chrono::milliseconds age(now - std::min(now, record.written_ms()));
    // Announcements have repeated since then what is still valid.
    if (age > FleetMembers::MemberTimeout)
        return;
    for (const auto *entry : *record.parts()) {
        auto poison = readPoisonCause(*entry);
        poison.remaining -= age;
        m_poison.notePoison(poison, m_clock.now());
    }
}

asio::awaitable<std::optional<LogPosition>> FleetJournal::append(std::string record)
{
    std::optional<LogPosition> position;
    try {
        const auto outcome =
            co_await m_log.append(FleetTopic::Journal, std::move(record), std::nullopt);
        if (outcome.isAppended)
            position = outcome.position;
    } catch (const Core::Error &error) {
        Core::logEvent(Core::EventId::PlatformUnavailable,
                       {{"log", "journal"}, {"reason", error.what()}});
    }
    co_return position;
}

std::chrono::milliseconds FleetJournal::announceInterval() const
{
    const auto retained =
        AnnounceRetentionShare * std::chrono::duration<double>(m_settings.journalRetention);
    return std::min(MaxAnnounceInterval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(retained));
}

std::string FleetJournal::announcement() const
{
    flatbuffers::FlatBufferBuilder builder;
    const auto member = wireMember(builder, m_members.self(), wirePoisonRecord(builder));
    return journalRecord(builder, Wire::Entry::Member, member);
}

std::string FleetJournal::announcementForAll() const
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Wire::Member>> members {
        wireMember(builder, m_members.self(), wirePoisonRecord(builder))};
    for (const auto &[instance, sibling] : m_members.siblings()) {
        if (sibling.member.dataCentre == m_members.self().dataCentre
            && m_members.isReachable(sibling))
            members.push_back(wireMember(builder, sibling.member, {}));
    }
    return journalRecord(builder, Wire::Entry::Members,
                         Wire::CreateMembersDirect(builder, &members));
}

bool FleetJournal::isAnnouncementDue() const
{
    if (m_lastAnnounced == Core::Clock::Monotonic::min())
        return true;
    const auto age = m_clock.now() - m_lastAnnounced;
    if (!m_members.isLarge())
        return age >= announceInterval();
    return age >= (m_members.isHub() ? HubIntervalFactor : HubGraceFactor) * announceInterval();
}

asio::awaitable<void> FleetJournal::announce()
{
    for (;;) {
        if (!isAnnouncementDue()) {
            co_await sleepFor(std::min(AnnouncePollInterval, announceInterval() / 4));
            continue;
        }
        const bool isAnnounced = co_await announceOnce();
        if (!isAnnounced)
            co_await sleepFor(RetryPause);
    }
}

asio::awaitable<bool> FleetJournal::announceOnce()
{
    const bool isForAll = m_members.isLarge() && m_members.isHub();
    auto record = isForAll ? announcementForAll() : announcement();
    const auto requestTime = m_clock.now();
    const auto position = co_await append(std::move(record));
    if (!position)
        co_return false;
    noteAnnounced(requestTime);
    if (*position == LogPosition() && onFirstRecord)
        onFirstRecord();
    co_return true;
}

std::string FleetJournal::poisonRecord() const
{
    flatbuffers::FlatBufferBuilder builder;
    return journalRecord(builder, Wire::Entry::PoisonParts, wirePoisonRecord(builder));
}

asio::awaitable<void> FleetJournal::writePoison()
{
    for (;;) {
        co_await sleepFor(PoisonBatchInterval);
        if (!m_hasNewPoison)
            continue;
        m_hasNewPoison = false;
        // The conviction may have been withdrawn since.
        if (m_poison.causes(m_clock.now()).empty())
            continue;
        const auto position = co_await append(poisonRecord());
        if (position)
            continue;
        m_hasNewPoison = true;
        co_await sleepFor(RetryPause);
    }
}

asio::awaitable<bool> FleetJournal::takeLease()
{
    const auto requestTime = m_clock.now();
    if (!m_hasRead || !m_lease.mayTake(requestTime, m_settings.leaseTime))
        co_return false;
    const bool isRenewal = m_lease.token(requestTime, 0ms).has_value();
    flatbuffers::FlatBufferBuilder builder;
    const auto lease = Wire::CreateLeaseDirect(builder, m_settings.instance.value().c_str());
    auto record = journalRecord(builder, Wire::Entry::Lease, lease);
    AppendOutcome outcome;
    try {
        outcome = co_await m_log.append(FleetTopic::Journal, std::move(record), m_next);
        // The pending long poll may not have returned the records in between, for example when the
        // store does not answer it.
        if (!outcome.isAppended)
            co_await readOnce(0ms);
    } catch (const Core::Error &error) {
        // The append may have succeeded. The next read of the journal shows it.
        Core::logEvent(Core::EventId::LeaseLost, {{"reason", error.what()}});
        co_return false;
    }
    if (!outcome.isAppended)
        co_return false;
    m_lease.noteTaken(outcome.position, requestTime);
    // The conditional append succeeded, so all earlier records have been read.
    m_next = std::max(m_next, outcome.position + 1);
    if (!isRenewal)
        Core::logEvent(Core::EventId::LeaseTaken,
                       {{"token", std::to_string(OrderLease::tokenOf(outcome.position))}});
    co_return m_lease.token(m_clock.now(), 0ms).has_value();
}

} // namespace Gateway
