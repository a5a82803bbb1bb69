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

/// Time that a lent amount may be used, counted by the borrower from the report that the lease
/// answers, and by the lender from the lease itself, which is later.
constexpr std::chrono::milliseconds LeaseDuration {1000};

/// Time by which the lender takes an amount back later than the borrower stops using it, for clocks
/// that do not run equally fast.
constexpr std::chrono::milliseconds LeaseMargin {50};

/// A lent amount as one instance writes it to another. A higher number replaces a lower one.
struct Lease
{
    std::uint64_t number = 0;
    std::uint32_t amount = 0;
    /// The borrower's report that the lease answers.
    std::uint64_t answers = 0;
};

/// Divides what one instance can spare among siblings that hold too little. `targets` says what
/// each instance should hold, at position `self` this one; each holds `safeShare` by itself. All
/// instances that know the same targets lend, together, no more than is missing. A quarter of the
/// safe share is never lent, so that new demand is met without waiting for a lease to run out.
std::vector<std::uint32_t> planLending(std::uint32_t safeShare, std::span<const double> targets,
                                       std::size_t self);

/// One instance's part of a quantity that siblings divide without a coordinator. Each has a safe
/// share, and the safe shares add up to the whole. An instance lends a part of its safe share by a
/// lease and does not use it until the lease has run out or the borrower holds a newer, smaller
/// one, so that the amounts in use never add up to more than the whole, whatever messages are
/// lost, late, doubled or reordered. An instance that hears nobody falls back to its safe share
/// within LeaseDuration plus LeaseMargin. Not safe for several threads at once.
class LeasedShare
{
public:
    /// Sets the safe share: position `index` of `count` siblings. It is at least 1 of a quantity
    /// that is not 0; when the quantity is smaller than the count, the shares add up to the count.
    void setSafeShare(std::uint32_t quantity, std::uint32_t index, std::uint32_t count);

    /// What may be used now: the safe share, less what is lent, plus what is borrowed.
    std::uint32_t available(Core::Clock::Monotonic now) const;

    std::uint32_t safeShare() const { return m_safeShare; }

    /// Lends up to the given amount in answer to the sibling's report, replacing what the sibling
    /// had. Returns nothing when there is neither something to lend nor something to take back.
    std::optional<Lease> lend(const Core::InstanceId &sibling, std::uint32_t amount,
                              std::uint64_t answeredSequence, Core::Clock::Monotonic now);

    /// Notes that the sibling has let go of every lease below the number.
    void noteAcknowledged(const Core::InstanceId &sibling, std::uint64_t number);

    /// Takes a lease of a sibling. `reportSent` is when the report that it answers was sent.
    void accept(const Core::InstanceId &sibling, const Lease &lease,
                Core::Clock::Monotonic reportSent);

    /// The highest lease number that may be acknowledged to the sibling: the latest accepted when
    /// no more is in use than available now, else the one before.
    std::uint64_t acknowledge(const Core::InstanceId &sibling, std::uint32_t inUse,
                              Core::Clock::Monotonic now);

    /// Forgets what was borrowed from an instance that has restarted.
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
