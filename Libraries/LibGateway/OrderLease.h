#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibGateway/LogPosition.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Gateway {

/// The lease of the instance that may send orders to upstreams. Leases are records of a log, and
/// the position of a record determines its fencing token, so tokens are unique and increase with
/// every holder. The holder counts the duration from before its request to the log; other instances
/// count from when they see the record, and wait until it has expired and the minimum gap between
/// two holders, which the upstreams require, has passed. In a new era of the log they count from
/// when they see the era, since the record of the last lease may be lost.
class OrderLease
{
public:
    /// Duration of a lease, counted from the request for it.
    static constexpr std::chrono::milliseconds Duration {1'500};

    explicit OrderLease(Core::InstanceId self);

    /// Records a lease that was read from the log; leases older than the newest known one are
    /// ignored.
    void noteRecord(LogPosition position, const Core::InstanceId &holder,
                    Core::Clock::Monotonic now);
    /// Records that the log was seen in a new era.
    void noteNewEra(Core::Clock::Monotonic now) { m_eraSeen = now; }
    /// Returns whether this instance may try to acquire or renew the lease, given the minimum gap
    /// between two holders that applies now.
    bool mayTake(Core::Clock::Monotonic now, std::chrono::milliseconds minHandoverGap) const;
    /// Records that the log accepted the lease that this instance requested at the given time.
    void noteTaken(LogPosition position, Core::Clock::Monotonic requestTime);
    /// Returns the fencing token for orders; empty if this instance does not hold the lease or the
    /// lease expires within the margin. The clock has to include the time in which the machine is
    /// suspended.
    std::optional<std::uint64_t> token(Core::Clock::Monotonic now,
                                       std::chrono::milliseconds margin) const;
    /// Returns the fencing token of the lease whose record has the position.
    static std::uint64_t tokenOf(LogPosition position);
    const Core::InstanceId &lastHolder() const { return m_lastHolder; }

private:
    Core::InstanceId m_self;
    Core::InstanceId m_lastHolder;
    LogPosition m_lastPosition;
    Core::Clock::Monotonic m_lastSeen = Core::Clock::Monotonic::min();
    std::optional<Core::Clock::Monotonic> m_eraSeen;
    std::optional<LogPosition> m_ownPosition;
    Core::Clock::Monotonic m_ownExpiry = Core::Clock::Monotonic::min();
};

} // namespace Gateway
