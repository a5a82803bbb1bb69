#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Gateway {

/// Who may give orders to upstreams. Leases are records of one log; a record's offset gives the
/// fencing token, so that two holders never share one and a later holder's is higher. The holder
/// counts its lease from before it asked for it, others from when they saw it, and they wait for
/// its end and for the distance that upstreams want between two holders.
class OrderLease
{
public:
    /// How long a lease lasts from when it was asked for.
    static constexpr std::chrono::milliseconds Duration {1'500};

    OrderLease(Core::InstanceId self, std::chrono::milliseconds minHandoverGap);

    /// Notes the newest lease that the log holds.
    void noteRecord(std::uint64_t offset, const Core::InstanceId &holder,
                    Core::Clock::Monotonic now);
    /// Whether this instance may try to take or renew the lease.
    bool mayTake(Core::Clock::Monotonic now) const;
    /// Notes that the log took this instance's lease, asked for at the given time.
    void noteTaken(std::uint64_t offset, Core::Clock::Monotonic requestTime);
    /// The token to give orders with; none when the lease is not this instance's or runs out
    /// within the margin. The clock has to count suspension.
    std::optional<std::uint64_t> token(Core::Clock::Monotonic now,
                                       std::chrono::milliseconds margin) const;
    const Core::InstanceId &lastHolder() const { return m_lastHolder; }

private:
    Core::InstanceId m_self;
    std::chrono::milliseconds m_minHandoverGap;
    Core::InstanceId m_lastHolder;
    std::uint64_t m_lastOffset = 0;
    Core::Clock::Monotonic m_lastSeen = Core::Clock::Monotonic::min();
    std::optional<std::uint64_t> m_ownOffset;
    Core::Clock::Monotonic m_ownExpiry = Core::Clock::Monotonic::min();
};

} // namespace Gateway
