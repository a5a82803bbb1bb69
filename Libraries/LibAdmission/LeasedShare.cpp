#include <LibAdmission/LeasedShare.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {
constexpr double LendablePart = 0.75;
} // namespace

std::vector<std::uint32_t> planLending(std::uint32_t safeShare, std::span<const double> targets,
                                       std::size_t self)
{
    const auto safe = static_cast<double>(safeShare);
    const auto spareAt = [&](double target) {
        return std::clamp(safe - std::ceil(target), 0.0, safe * LendablePart);
    };
    double missing = 0;
    double spare = 0;
    for (const auto target : targets) {
        missing += std::max(0.0, target - safe);
        spare += spareAt(target);
    }
    std::vector<std::uint32_t> amounts(targets.size(), 0);
    if (missing <= 0 || spare <= 0)
        return amounts;
    const double toLend = spareAt(targets[self]) * std::min(1.0, missing / spare);
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const double part = std::max(0.0, targets[n] - safe) / missing;
        amounts[n] = static_cast<std::uint32_t>(std::lround(toLend * part));
    }
    return amounts;
}

void LeasedShare::setSafeShare(std::uint32_t quantity, std::uint32_t index, std::uint32_t count)
{
    const std::uint64_t whole = quantity;
    const std::uint64_t n = std::max<std::uint32_t>(count, 1);
    const std::uint64_t position = std::min<std::uint64_t>(index, n - 1);
    const auto upper = whole * (position + 1) / n;
    const auto lower = whole * position / n;
    m_safe = static_cast<std::uint32_t>(std::max<std::uint64_t>(upper - lower, whole > 0));
}

std::uint32_t LeasedShare::available(Core::Clock::Monotonic now) const
{
    const auto lent = lentInAll(now);
    std::uint32_t sum = m_safe > lent ? m_safe - lent : 0;
    for (const auto &[sibling, borrowed] : m_borrowed) {
        if (now < borrowed.until)
            sum += borrowed.lease.amount;
    }
    return sum;
}

std::optional<Lease> LeasedShare::lend(const Core::InstanceId &sibling, std::uint32_t amount,
                                       std::uint64_t answers, Core::Clock::Monotonic now)
{
    auto &leases = m_lent[sibling];
    std::erase_if(leases, [now](const Lent &it) { return it.until <= now; });
    if (amount == 0 && leases.empty())
        return std::nullopt;
    const auto held = lentTo(sibling, now);
    const auto others = lentInAll(now) - held;
    const auto free = m_safe > others ? m_safe - others : 0;
    Lent lent {
        .lease = {.number = ++m_lastNumber, .amount = std::min(amount, free), .answers = answers},
        .until = now + LeaseDuration + LeaseMargin};
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
    borrowed.until = reportSent + LeaseDuration;
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
    // The sibling holds one of the leases that have not run out, and which one is not known.
    std::uint32_t most = 0;
    const auto leases = m_lent.find(sibling);
    if (leases == m_lent.end())
        return 0;
    for (const auto &it : leases->second) {
        if (now < it.until)
            most = std::max(most, it.lease.amount);
    }
    return most;
}

std::uint32_t LeasedShare::lentInAll(Core::Clock::Monotonic now) const
{
    std::uint32_t sum = 0;
    for (const auto &[sibling, leases] : m_lent)
        sum += lentTo(sibling, now);
    return sum;
}

} // namespace Admission
