#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/OrderLease.h>
#include <LibGateway/PoisonTable.h>

#include <flatbuffers/flatbuffers.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

namespace Wire {
struct Member;
struct PoisonParts;
} // namespace Wire

/// The journal that instances share through the store's log: members, the lease for giving orders,
/// and what crashes upstreams: requests and parts of prompts. The log retains records for a
/// limited time, so members and causes of crashes are announced repeatedly: in a large
/// fleet by the hub of each data centre for all its members, so that the calls to the store do not
/// grow with the fleet, and by a member itself at its start or when its hub does not.
class FleetJournal
{
public:
    FleetJournal(FleetLog &log, const Core::Clock &clock, const GatewaySettings &settings,
                 PoisonTable &poison, FleetMembers &members);

    /// Reads the journal until the process ends.
    boost::asio::awaitable<void> watch();
    /// Reads one page; if there is none, waits for new records for at most the given time. Public
    /// for tests.
    boost::asio::awaitable<void> readOnce(std::chrono::milliseconds wait);
    /// Announces this instance periodically until the process ends.
    boost::asio::awaitable<void> announce();
    /// Appends one announcement. Returns whether it was appended. Public for tests.
    boost::asio::awaitable<bool> announceOnce();
    /// Writes the causes of crashes after each notePoison() until the process ends.
    boost::asio::awaitable<void> writePoison();

    /// Acquires or renews the lease for giving orders. Returns whether this instance holds the
    /// lease afterwards.
    boost::asio::awaitable<bool> takeLease();
    const OrderLease &lease() const { return m_lease; }

    /// Requests a record of the causes of crashes, because there is a new one.
    void notePoison() { m_hasNewPoison = true; }
    /// Returns whether all retained records were read, so that the members are known.
    bool hasRead() const { return m_hasRead; }

    /// Called when an announcement of this instance is known to stand in the journal, with a time
    /// before it was written. May be empty.
    std::function<void(Core::Clock::Monotonic writtenAfter)> onAnnounced;
    /// Called after onAnnounced when the announcement is the first record of the journal. May be
    /// empty.
    std::function<void()> onFirstRecord;
    /// Called when all records that were written until the given time have been read. May be
    /// empty.
    std::function<void(Core::Clock::Monotonic asOf)> onRead;

    /// Returns the record that announces this instance. Public for tests.
    std::string announcement() const;
    /// Returns the record with which a hub announces itself and the members that it hears. Public
    /// for tests.
    std::string announcementForAll() const;
    /// Returns the record of the causes of crashes. Public for tests.
    std::string poisonRecord() const;
    /// Returns whether this instance has to announce itself, because no record that was read
    /// recently names it. Public for tests.
    bool isAnnouncementDue() const;
    /// Applies one record that was read from the journal. Public for tests.
    void apply(const FleetRecord &record);

private:
    boost::asio::awaitable<void> follow();
    /// Returns the position of the appended record; nothing when the append failed.
    boost::asio::awaitable<std::optional<LogPosition>> append(std::string record);
    std::chrono::milliseconds announceInterval() const;
    /// Returns the causes of crashes for a record; a null offset if there are none.
    flatbuffers::Offset<Wire::PoisonParts>
    wirePoisonRecord(flatbuffers::FlatBufferBuilder &builder) const;
    std::uint64_t calendarMs() const;
    void applyPoison(const Wire::PoisonParts &record);
    /// Records that the log was seen in a new era, which may have lost what this instance wrote.
    void noteNewEra();
    /// Records that a page reached the end of the journal at the given time.
    void noteComplete(Core::Clock::Monotonic asOf);
    void noteAnnounced(Core::Clock::Monotonic writtenAfter);
    void applyMember(const Wire::Member &member, LogPosition position);

    FleetLog &m_log;
    const Core::Clock &m_clock;
    const GatewaySettings &m_settings;
    PoisonTable &m_poison;
    FleetMembers &m_members;
    OrderLease m_lease;
    LogPosition m_next;
    /// When a record was last found to announce this process.
    Core::Clock::Monotonic m_lastAnnounced = Core::Clock::Monotonic::min();
    /// All records that were written until this time have been read; empty before the first time.
    std::optional<Core::Clock::Monotonic> m_readAsOf;
    bool m_hasRead = false;
    bool m_hasNewPoison = false;
};

} // namespace Gateway
