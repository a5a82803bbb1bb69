#include <LibAdmission/RetryBudget.h>

#include <algorithm>
#include <chrono>

namespace Admission {

namespace {
/// The balance is counted in thousandths of a retry.
constexpr std::int64_t UnitsPerRetry = 1000;
constexpr std::chrono::nanoseconds OneSecond = std::chrono::seconds(1);
} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : m_unitsPerSuccess(static_cast<std::int64_t>(settings.share * UnitsPerRetry))
    , m_unitsPerNanosecond(settings.minPerSecond * UnitsPerRetry
                           / static_cast<double>(OneSecond.count()))
    , m_maxBalance(UnitsPerRetry * settings.burst)
    , m_balance(m_maxBalance)
{ }

void RetryBudget::noteSuccess()
{
    add(m_unitsPerSuccess);
}

bool RetryBudget::tryRetry(Core::Clock::Monotonic now)
{
    addForElapsedTime(now);
    auto balance = m_balance.load(std::memory_order_relaxed);
    while (balance >= UnitsPerRetry) {
        if (m_balance.compare_exchange_weak(balance, balance - UnitsPerRetry))
            return true;
    }
    return false;
}

void RetryBudget::add(std::int64_t amount)
{
    auto balance = m_balance.load(std::memory_order_relaxed);
    while (balance < m_maxBalance) {
        if (m_balance.compare_exchange_weak(balance, std::min(m_maxBalance, balance + amount)))
            return;
    }
}

void RetryBudget::addForElapsedTime(Core::Clock::Monotonic now)
{
    const auto current = now.time_since_epoch().count();
    auto last = m_lastRefill.load(std::memory_order_relaxed);
    const auto earned = static_cast<std::int64_t>(
        static_cast<double>(std::max<Core::Clock::Monotonic::rep>(0, current - last))
        * m_unitsPerNanosecond);
    // Only the thread that advances the refill time adds the amount earned since the last refill.
    if (earned >= 1 && m_lastRefill.compare_exchange_strong(last, current))
        add(std::min(earned, m_maxBalance));
}

} // namespace Admission
