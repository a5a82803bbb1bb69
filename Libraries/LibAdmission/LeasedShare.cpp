#include <LibAdmission/LeasedShare.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {
/// The largest fraction of the safe share that may be lent.
constexpr double LendableFraction = 0.75;
} // namespace

std::vector<std::uint32_t> planLending(std::uint32_t safeShare, std::span<const double> targets,
                                       std::size_t self)
{
    const auto safe = static_cast<double>(safeShare);
    const auto surplusAt = [&](double target) {
        return std::clamp(safe - std::ceil(target), 0.0, safe * LendableFraction);
    };
    double totalDeficit = 0;
    double totalSurplus = 0;
    for (const auto target : targets) {
        totalDeficit += std::max(0.0, target - safe);
        totalSurplus += surplusAt(target);
    }
    std::vector<std::uint32_t> amounts(targets.size(), 0);
    if (totalDeficit <= 0 || totalSurplus <= 0)
        return amounts;
    const double toLend = surplusAt(targets[self]) * std::min(1.0, totalDeficit / totalSurplus);
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const double fraction = std::max(0.0, targets[n] - safe) / totalDeficit;
        amounts[n] = static_cast<std::uint32_t>(std::lround(toLend * fraction));
    }
    return amounts;
}

void LeasedShare::setSafeShare(std::uint32_t quantity, std::uint32_t index, std::uint32_t count)
{
    const std::uint64_t total = quantity;
    const std::uint64_t n = std::max<std::uint32_t>(count, 1);
    const std::uint64_t position = std::min<std::uint64_t>(index, n - 1);
    const auto upper = total * (position + 1) / n;
    const auto lower = total * position / n;
    m_safeShare = static_cast<std::uint32_t>(std::max<std::uint64_t>(upper - lower, total > 0));
}

std::uint32_t LeasedShare::available(Core::Clock::Monotonic now) const
{
    const auto lent = totalLent(now);
    std::uint32_t sum = m_safeShare > lent ? m_safeShare - lent : 0;
    for (const auto &[sibling, borrowed] : m_borrowed) {
        if (now < borrowed.expiresAt)
            sum += borrowed.lease.amount;
    }
    return sum;
}

std::optional<Lease> LeasedShare::lend(const Core::InstanceId &sibling, std::uint32_t amount,
                                       std::uint64_t answeredSequence, Core::Clock::Monotonic now)
{
    auto &leases = m_lent[sibling];
    std::erase_if(leases, [now](const Lent &it) { return it.expiresAt <= now; });
    if (amount == 0 && leases.empty())
        return std::nullopt;
    const auto lentToSibling = lentTo(sibling, now);
    const auto lentToOthers = totalLent(now) - lentToSibling;
    const auto lendable = m_safeShare > lentToOthers ? m_safeShare - lentToOthers : 0;
    Lent lent {.lease = {.number = ++m_lastNumber,
                         .amount = std::min(amount, lendable),
                         .answers = answeredSequence},
               .expiresAt = now + LeaseDuration + LeaseMargin};
    leases.push_back(lent);
    return lent.lease;
}

void LeasedShare::noteAcknowledged(const Core::InstanceId &sibling, std::uint64_t number)
{
    const auto leases = m_lent.find(sibling);
    if (leases == m_lent.end() || number > m_lastNumber)
        return;
    std::erase_if(leases->second, [number](const Lent &it) { return it.lease.number < number; });
}

void LeasedShare::accept(const Core::InstanceId &sibling, const Lease &lease,
                         Core::Clock::Monotonic reportSent)
{
    auto &borrowed = m_borrowed[sibling];
    if (lease.number <= borrowed.lease.number)
        return;
    borrowed.lease = lease;
    borrowed.expiresAt = reportSent + LeaseDuration;
}

std::uint64_t LeasedShare::acknowledge(const Core::InstanceId &sibling, std::uint32_t inUse,
                                       Core::Clock::Monotonic now)
{
    const auto borrowed = m_borrowed.find(sibling);
    if (borrowed == m_borrowed.end())
        return 0;
    if (inUse <= available(now))
        borrowed->second.acknowledged = borrowed->second.lease.number;
    return borrowed->second.acknowledged;
}

void LeasedShare::forgetBorrowed(const Core::InstanceId &sibling)
{
    m_borrowed.erase(sibling);
}

std::uint32_t LeasedShare::lentTo(const Core::InstanceId &sibling, Core::Clock::Monotonic now) const
{
    // The sibling uses one of its unexpired leases. It is not known which, so the largest counts.
    std::uint32_t maxAmount = 0;
    const auto leases = m_lent.find(sibling);
    if (leases == m_lent.end())
        return 0;
    for (const auto &it : leases->second) {
        if (now < it.expiresAt)
            maxAmount = std::max(maxAmount, it.lease.amount);
    }
    return maxAmount;
}

std::uint32_t LeasedShare::totalLent(Core::Clock::Monotonic now) const
{
    std::uint32_t sum = 0;
    for (const auto &[sibling, leases] : m_lent)
        sum += lentTo(sibling, now);
    return sum;
}

} // namespace Admission
