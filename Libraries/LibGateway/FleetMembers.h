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

/// An instance of the system, as it announced itself.
struct FleetMember
{
    Core::InstanceId instance;
    std::string dataCentre;
    /// Where its datagrams arrive, and where it answers siblings' calls.
    Http::Endpoint endpoint;
    /// The speed of its own network link, for duties that cost bytes; 0 when it was not told.
    unsigned linkMegabits = 0;
};

/// The instances that may be alive: who announced itself in the journal, or sent a datagram, in the
/// last while. An instance that is cut off from this one may still use its part of shared budgets,
/// so members are kept for longer than such cuts usually last.
class FleetMembers
{
public:
    /// A member that was not heard of for this long uses no part of any budget any more.
    static constexpr std::chrono::seconds MemberTimeout {60};
    /// A member is taken to be reachable for this long after its last datagram.
    static constexpr std::chrono::milliseconds ReachabilityTimeout {1'500};

    /// Members that may all talk to all others.
    static constexpr std::size_t MaxFullMeshMembers = 16;

    FleetMembers(FleetMember self, const Core::Clock &clock);

    const FleetMember &self() const { return m_self; }
    /// Notes that the member announced itself.
    void noteAnnounced(const FleetMember &member);
    /// Notes that a datagram of the member arrived just now.
    void noteDatagram(const FleetMember &member);
    void dropExpired();

    /// The others by their name.
    struct Sibling
    {
        FleetMember member;
        /// When it last announced itself or was heard.
        Core::Clock::Monotonic lastSeen;
        /// When its last datagram arrived; the least time before the first.
        Core::Clock::Monotonic lastDatagram = Core::Clock::Monotonic::min();
    };
    const std::map<Core::InstanceId, Sibling> &siblings() const { return m_siblings; }
    /// Members, this instance included.
    std::size_t count() const { return m_siblings.size() + 1; }
    /// Whether there are so many members that only those of one data centre talk to each other, and
    /// hubs pass on the rest.
    bool isLarge() const { return count() > MaxFullMeshMembers; }
    /// Whether the sibling's datagrams arrive.
    bool isReachable(const Sibling &sibling) const;

    /// Reachable siblings in an order that all agree on, and that differs by key. With a data
    /// centre, only those in it.
    std::vector<FleetMember> reachable(std::string_view key,
                                       const std::optional<std::string> &dataCentre) const;
    /// How many of them come before this instance. Duties that a few instances are enough for fall
    /// to the first ones.
    std::size_t reachableBefore(std::string_view key,
                                const std::optional<std::string> &dataCentre = {}) const;

    /// Whether this instance is the one that passes news between its data centre and the others:
    /// the one with the fastest link among those that are reachable.
    bool isHub() const;
    /// Members of each other data centre, likely hubs first.
    std::map<std::string, std::vector<FleetMember>> remoteMembers() const;
    /// Siblings of the own data centre.
    std::vector<FleetMember> localMembers() const;

private:
    Sibling &sibling(const FleetMember &member);

    FleetMember m_self;
    const Core::Clock &m_clock;
    std::map<Core::InstanceId, Sibling> m_siblings;
};

} // namespace Gateway
