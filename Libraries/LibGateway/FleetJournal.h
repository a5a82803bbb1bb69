#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/OrderLease.h>
#include <LibGateway/PoisonRequestTable.h>

#include <string>
#include <vector>

namespace Gateway {

/// The fleet's own log in the store: who is a member, who may give orders, and which requests broke
/// upstreams. A restarted instance reads what the store still keeps of it, so whatever has to last
/// longer is announced again.
class FleetJournal
{
public:
    FleetJournal(FleetLog &log, const Core::Clock &clock, const GatewaySettings &settings,
                 PoisonRequestTable &poison, FleetMembers &members);

    /// Follows the journal until the process ends.
    boost::asio::awaitable<void> watch();
    /// Announces this instance, again and again, until the process ends.
    boost::asio::awaitable<void> announce();
    /// Writes the upstream failures that were noted, until the process ends.
    boost::asio::awaitable<void> writeUpstreamFailures();

    /// Takes or renews the lease for orders. Returns whether this instance holds it then.
    boost::asio::awaitable<bool> takeLease();
    const OrderLease &lease() const { return m_lease; }

    /// Notes that an upstream broke under a request of this instance.
    void noteUpstreamFailure(std::uint64_t digest) { m_upstreamFailures.push_back(digest); }
    /// Whether all that the log keeps was read, so that the members are known.
    bool hasRead() const { return m_hasRead; }

    /// What this instance announces. Public for tests.
    std::string announcement() const;
    /// Takes one record as it was read. Public for tests.
    void apply(const FleetRecord &record);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> readNext(std::chrono::milliseconds wait);
    boost::asio::awaitable<bool> append(std::string record);
    std::chrono::milliseconds announceInterval() const;

    FleetLog &m_log;
    const Core::Clock &m_clock;
    const GatewaySettings &m_settings;
    PoisonRequestTable &m_poison;
    FleetMembers &m_members;
    OrderLease m_lease;
    std::vector<std::uint64_t> m_upstreamFailures;
    std::uint64_t m_nextOffset = 0;
    bool m_hasRead = false;
};

} // namespace Gateway
