#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Membership {

/// One process. An instance id that is used again, or by two processes at a time, comes with
/// another incarnation and is another member.
struct MemberId
{
    Core::InstanceId instance;
    /// Chosen at start, greater for a later process of the same instance id.
    std::uint64_t incarnation = 0;

    friend bool operator==(const MemberId &, const MemberId &) = default;
    friend bool operator<(const MemberId &left, const MemberId &right)
    {
        const int order = left.instance.value().compare(right.instance.value());
        return order < 0 || (order == 0 && left.incarnation < right.incarnation);
    }
};

/// What is believed of a member, from best to worst.
enum class MemberState : std::uint8_t {
    Alive,
    /// Misses its probes; dropped unless it objects in time.
    Suspect,
    /// Takes no new work and is about to end.
    Leaving,
    /// Dropped. Kept for a while, so that it is found again after a partition.
    Dead,
};

struct Member
{
    MemberId id;
    /// Raised by the member itself to contradict what is said of it.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    Core::DataCentreId dataCentre;
    /// IP:port of the member's peer link.
    std::string address;

    bool isLive() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

/// What has become of a member, for those who act on it.
enum class MemberChange {
    Joined,
    Suspected,
    /// A suspected or dropped member has shown that it lives.
    Recovered,
    Leaving,
    /// Announced that it leaves, and is gone.
    Left,
    /// Missed its probes and did not object.
    Died,
    /// Another process answers at its address.
    Replaced,
};

std::string_view memberChangeName(MemberChange change);

/// Numbers and times of the probing. Periods are of the prober's own monotonic clock.
struct MembershipSettings
{
    /// One member is probed each period.
    std::chrono::milliseconds period {1'000};
    /// Without an ack for this long, others are asked to probe.
    std::chrono::milliseconds probeTimeout {300};
    std::size_t indirectProbes = 3;
    /// A suspect is dropped after this many periods times the decimal logarithm of the fleet.
    unsigned suspicionFactor = 4;
    /// A piece of news is sent this many times the decimal logarithm of the fleet.
    unsigned retransmitFactor = 4;
    std::size_t updatesPerMessage = 8;
    /// Suspects that are asked once more each period, in the last two periods before they drop.
    std::size_t finalProbesPerPeriod = 4;
    /// Addresses of the platform's list that are tried each period.
    std::size_t candidatesPerPeriod = 3;
    /// A prober that hears from nobody blames itself for this many periods.
    unsigned maxIsolatedPeriods = 3;
    std::chrono::milliseconds droppedMemberRetention {std::chrono::hours(6)};
    std::size_t maxMembers = 4'096;
    /// What updates may use each second; probes and acks without updates are sent all the same.
    std::size_t updateBytesPerSecond = 2'048;
};

} // namespace Membership
