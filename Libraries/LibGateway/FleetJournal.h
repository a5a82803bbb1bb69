#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/OrderLease.h>
#include <LibGateway/PoisonLedger.h>

#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// An instance of the system, as it announced itself.
struct FleetMember
{
    Core::InstanceId instance;
    std::string dataCentre;
    /// Where its datagrams arrive.
    Http::Endpoint endpoint;
};

/// The fleet's own log in the store: who is a member, who may give orders, and which requests broke
/// upstreams. A restarted instance reads all of it again.
class FleetJournal
{
public:
    FleetJournal(FleetLog &log, const Core::Clock &clock, const GatewaySettings &settings,
                 PoisonLedger &poison);

    /// Follows the journal until the process ends.
    boost::asio::awaitable<void> watch();
    /// Announces this instance, again and again, until the process ends.
    boost::asio::awaitable<void> announce();
    /// Writes the breaks that were noted, until the process ends.
    boost::asio::awaitable<void> writeBreaks();

    /// Takes or renews the lease for orders. Returns whether this instance holds it then.
    boost::asio::awaitable<bool> takeLease();
    const OrderLease &lease() const { return m_lease; }

    /// Notes that an upstream broke under a request of this instance.
    void noteBreak(std::uint64_t digest) { m_breaks.push_back(digest); }
    /// All instances that announced themselves in the time that the log keeps, this one included.
    const std::map<Core::InstanceId, FleetMember> &members() const { return m_members; }

    /// Takes one record as it was read. Public for tests.
    void apply(const FleetRecord &record);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> readOn(std::chrono::milliseconds wait);
    boost::asio::awaitable<bool> append(std::string record);

    FleetLog &m_log;
    const Core::Clock &m_clock;
    const GatewaySettings &m_settings;
    PoisonLedger &m_poison;
    OrderLease m_lease;
    std::map<Core::InstanceId, FleetMember> m_members;
    std::vector<std::uint64_t> m_breaks;
    std::uint64_t m_next = 0;
    bool m_hasRead = false;
};

} // namespace Gateway
