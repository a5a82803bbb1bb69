#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Membership {

/// Identifies one process. A restarted process, or a second process with the same instance id, has
/// another incarnation and is a separate member.
struct MemberId
{
    Core::InstanceId instance;
    /// Chosen at start; greater for each later process with the same instance id.
    std::uint64_t incarnation = 0;

    friend bool operator==(const MemberId &, const MemberId &) = default;
    friend bool operator<(const MemberId &left, const MemberId &right)
    {
        const int order = left.instance.value().compare(right.instance.value());
        return order < 0 || (order == 0 && left.incarnation < right.incarnation);
    }
};

/// The state of a member as this process knows it, ordered from best to worst.
enum class MemberState : std::uint8_t {
    Alive,
    /// Does not answer probes; dropped unless it refutes the suspicion in time.
    Suspect,
    /// Accepts no new work and is about to shut down.
    Leaving,
    /// Dropped from the fleet. The entry is kept for a while, so that the member is found again
    /// after a network partition.
    Dead,
};

struct Member
{
    MemberId id;
    /// A counter that only the member itself raises, to refute a suspicion about itself. The higher
    /// value overrides the lower one.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    Core::DataCentreId dataCentre;
    /// IP:port of the member's peer link.
    std::string address;

    bool isLive() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

/// A change in a member's state, as reported to the listener.
enum class MemberChange {
    Joined,
    Suspected,
    /// A suspected or dropped member has proved that it is alive.
    Recovered,
    Leaving,
    /// Announced that it is leaving, and was then dropped.
    Left,
    /// Did not answer probes and did not refute the suspicion in time.
    Died,
    /// Another process answers at the member's address.
    Replaced,
};

std::string_view memberChangeName(MemberChange change);

/// Parameters of the failure detector. Times are measured with the prober's own monotonic clock.
struct MembershipSettings
{
    /// The probe interval: one member is probed each period.
    std::chrono::milliseconds period {1'000};
    /// After this long without an ack, other members are asked to probe the target indirectly.
    std::chrono::milliseconds probeTimeout {300};
    std::size_t indirectProbes = 3;
    /// A suspect is dropped after this many periods, times the decimal logarithm of the fleet size.
    unsigned suspicionFactor = 4;
    /// An update is sent this many times, times the decimal logarithm of the fleet size.
    unsigned retransmitFactor = 4;
    std::size_t updatesPerMessage = 8;
    /// Number of suspects that are probed again each period, in the last two periods before they
    /// are dropped.
    std::size_t finalProbesPerPeriod = 4;
    /// Number of unknown addresses from the platform's instance list that are probed each period.
    std::size_t candidatesPerPeriod = 3;
    /// A process that receives no messages at all assumes for this many periods that it is itself
    /// cut off, and suspects nobody.
    unsigned maxIsolatedPeriods = 3;
    std::chrono::milliseconds droppedMemberRetention {std::chrono::hours(6)};
    std::size_t maxMembers = 4'096;
    /// Byte budget of updates per second. When it is used up, probes and acks are sent without
    /// updates.
    std::size_t updateBytesPerSecond = 2'048;
};

} // namespace Membership
