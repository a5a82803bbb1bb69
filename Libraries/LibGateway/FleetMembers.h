#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibHttp/Endpoint.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// An instance of the fleet, as it announced itself.
struct FleetMember
{
    Core::InstanceId instance;
    std::string dataCentre;
    /// The address where it receives datagrams and serves the calls of siblings.
    Http::Endpoint endpoint;
    /// The speed of its network link, used to choose instances for duties with much traffic; 0 if
    /// unknown.
    unsigned linkMegabits = 0;
};

/// The instances that may be running: those that announced themselves in the journal or sent a
/// datagram recently. An instance that is partitioned from this one may still use its share of
/// global budgets, so members are retained for longer than partitions usually last.
class FleetMembers
{
public:
    /// A member that was not seen for this long no longer has a share of any budget.
    static constexpr std::chrono::seconds MemberTimeout {60};
    /// A member is considered reachable for this long after its last datagram.
    static constexpr std::chrono::milliseconds ReachabilityTimeout {1'500};

    /// Up to this number of members, all exchange datagrams with each other.
    static constexpr std::size_t MaxFullMeshMembers = 16;

    FleetMembers(FleetMember self, const Core::Clock &clock);

    const FleetMember &self() const { return m_self; }
    /// Records that the member announced itself.
    void noteAnnounced(const FleetMember &member);
    /// Records that a datagram of the member arrived.
    void noteDatagram(const FleetMember &member);
    /// Records that the own announcement was read, so that all earlier ones are known.
    void noteSelfAnnounced() { m_isSelfAnnounced = true; }
    bool isSelfAnnounced() const { return m_isSelfAnnounced; }
    void dropExpired();

    /// Another instance, and when it was last seen.
    struct Sibling
    {
        FleetMember member;
        /// The time of its last announcement or datagram.
        Core::Clock::Monotonic lastSeen;
        /// The time of its last datagram; the minimum time before the first one.
        Core::Clock::Monotonic lastDatagram = Core::Clock::Monotonic::min();
    };
    const std::map<Core::InstanceId, Sibling> &siblings() const { return m_siblings; }
    /// Returns the number of members, including this instance.
    std::size_t count() const { return m_siblings.size() + 1; }
    /// Returns whether there are so many members that only those within a data centre exchange
    /// datagrams directly, and hubs forward between data centres.
    bool isLarge() const { return count() > MaxFullMeshMembers; }
    /// Returns whether a datagram of the sibling arrived within ReachabilityTimeout.
    bool isReachable(const Sibling &sibling) const;

    /// Returns the reachable siblings, in an order that depends on the key and is the same at all
    /// instances. If a data centre is given, returns only its members.
    std::vector<FleetMember> reachable(std::string_view key,
                                       const std::optional<std::string> &dataCentre) const;
    /// Returns the known members of a data centre in the same order, reachable or not.
    std::vector<FleetMember> ranked(std::string_view key, const std::string &dataCentre) const;
    /// Returns how many reachable siblings rank before this instance for the key. A duty that needs
    /// a few instances is assigned to the first ones in this order.
    std::size_t reachableBefore(std::string_view key,
                                const std::optional<std::string> &dataCentre = {}) const;

    /// Returns whether this instance, as far as it knows, is the only one that has the duty of the
    /// key. In a large fleet that is the first instance of one data centre, because instances do
    /// not receive datagrams of those in other data centres.
    bool isFirst(std::string_view key) const;

    /// Returns whether this instance forwards updates between its data centre and the others. The
    /// hub is the instance with the fastest link among those that are reachable.
    bool isHub() const;
    /// Returns the members of each other data centre, the most likely hubs first.
    std::map<std::string, std::vector<FleetMember>> remoteMembers() const;
    /// Returns the siblings in the same data centre.
    std::vector<FleetMember> localMembers() const;

private:
    Sibling &sibling(const FleetMember &member);

    FleetMember m_self;
    const Core::Clock &m_clock;
    std::map<Core::InstanceId, Sibling> m_siblings;
    bool m_isSelfAnnounced = false;
};

} // namespace Gateway
