#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Admission {

/// The time for which a lent amount may be used. The borrower counts it from when it sent the
/// report that the lease answers, the lender from when it issued the lease, which is later.
constexpr std::chrono::milliseconds LeaseDuration {1000};

/// The time that the lender waits beyond LeaseDuration before it uses the amount again, to allow
/// for clock drift between the instances.
constexpr std::chrono::milliseconds LeaseMargin {50};

/// An amount lent by one instance to another. A lease with a higher number replaces one with a
/// lower number.
struct Lease
{
    std::uint64_t number = 0;
    std::uint32_t amount = 0;
    /// The sequence number of the borrower's report that the lease answers.
    std::uint64_t answers = 0;
};

/// Divides the surplus of one instance among siblings whose target exceeds their safe share, and
/// returns the amount to lend to each instance. `targets` holds the target amount of every
/// instance, that of this one at index `self`; every instance has a safe share of `safeShare`.
/// Instances with the same targets together lend no more than the total deficit. A quarter of the
/// safe share is never lent, so that new demand is met without waiting for a lease to expire.
std::vector<std::uint32_t> planLending(std::uint32_t safeShare, std::span<const double> targets,
                                       std::size_t self);

/// One instance's share of a quantity that siblings divide without a coordinator. Each instance has
/// a safe share, and the safe shares add up to the total. An instance lends part of its safe share
/// by a lease and does not use that part until the lease has expired or the borrower has
/// acknowledged a newer, smaller one. The amounts in use therefore never exceed the total, even if
/// messages are lost, delayed, duplicated or reordered. An instance that receives no messages
/// returns to its safe share within LeaseDuration plus LeaseMargin. Not thread-safe.
class LeasedShare
{
public:
    /// Sets the safe share of instance `index` out of `count` instances. It is at least 1 unless
    /// the quantity is 0, so the shares add up to `count` if the quantity is smaller than `count`.
    void setSafeShare(std::uint32_t quantity, std::uint32_t index, std::uint32_t count);

    /// Returns the amount that may be used now: the safe share minus lent plus borrowed amounts.
    std::uint32_t available(Core::Clock::Monotonic now) const;

    std::uint32_t safeShare() const { return m_safeShare; }

    /// Issues a lease for at most the given amount in answer to the sibling's report with the given
    /// sequence number. It replaces the sibling's earlier leases. Returns nothing if the amount is
    /// 0 and no earlier lease is outstanding.
    std::optional<Lease> lend(const Core::InstanceId &sibling, std::uint32_t amount,
                              std::uint64_t answeredSequence, Core::Clock::Monotonic now);

    /// Records that the sibling no longer uses any lease with a number below the given one.
    void noteAcknowledged(const Core::InstanceId &sibling, std::uint64_t number);

    /// Accepts a lease from a sibling. `reportSent` is the time at which the report that the lease
    /// answers was sent.
    void accept(const Core::InstanceId &sibling, const Lease &lease,
                Core::Clock::Monotonic reportSent);

    /// Returns the lease number to acknowledge to the sibling: that of the latest accepted lease if
    /// the amount in use does not exceed the available amount, otherwise the number acknowledged
    /// before.
    std::uint64_t acknowledge(const Core::InstanceId &sibling, std::uint32_t inUse,
                              Core::Clock::Monotonic now);

    /// Discards the lease borrowed from a sibling that has restarted.
    void forgetBorrowed(const Core::InstanceId &sibling);

private:
    struct Lent
    {
        Lease lease;
        Core::Clock::Monotonic expiresAt;
    };
    struct Borrowed
    {
        Lease lease;
        Core::Clock::Monotonic expiresAt;
        std::uint64_t acknowledged = 0;
    };

    std::uint32_t lentTo(const Core::InstanceId &sibling, Core::Clock::Monotonic now) const;
    std::uint32_t totalLent(Core::Clock::Monotonic now) const;

    std::uint32_t m_safeShare = 1;
    std::uint64_t m_lastNumber = 0;
    std::map<Core::InstanceId, std::vector<Lent>> m_lent;
    std::map<Core::InstanceId, Borrowed> m_borrowed;
};

} // namespace Admission
