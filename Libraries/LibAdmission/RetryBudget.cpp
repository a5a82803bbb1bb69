#include <LibAdmission/RetryBudget.h>

#include <algorithm>
#include <chrono>

namespace Admission {

namespace {
constexpr std::int64_t WholeRetry = 1000;
constexpr std::chrono::nanoseconds Second = std::chrono::seconds(1);
} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : m_perSuccess(static_cast<std::int64_t>(settings.share * WholeRetry))
    , m_perNanosecond(settings.minPerSecond * WholeRetry / static_cast<double>(Second.count()))
    , m_most(WholeRetry * settings.burst)
    , m_balance(m_most)
{ }

void RetryBudget::noteSuccess()
{
    add(m_perSuccess);
}

bool RetryBudget::tryRetry(Core::Clock::Monotonic now)
{
    addForTime(now);
    auto balance = m_balance.load(std::memory_order_relaxed);
    while (balance >= WholeRetry) {
        if (m_balance.compare_exchange_weak(balance, balance - WholeRetry))
            return true;
    }
    return false;
}

void RetryBudget::add(std::int64_t amount)
{
    auto balance = m_balance.load(std::memory_order_relaxed);
    while (balance < m_most) {
        if (m_balance.compare_exchange_weak(balance, std::min(m_most, balance + amount)))
            return;
    }
}

void RetryBudget::addForTime(Core::Clock::Monotonic now)
{
    const auto present = now.time_since_epoch().count();
    auto last = m_lastGrant.load(std::memory_order_relaxed);
    const auto earned = static_cast<std::int64_t>(
        static_cast<double>(std::max<Core::Clock::Monotonic::rep>(0, present - last))
        * m_perNanosecond);
    // Whoever moves the time on adds what was earned up to it.
    if (earned >= 1 && m_lastGrant.compare_exchange_strong(last, present))
        add(std::min(earned, m_most));
}

} // namespace Admission
