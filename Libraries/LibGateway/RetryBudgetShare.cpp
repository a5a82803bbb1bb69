#include <LibGateway/RetryBudgetShare.h>

#include <algorithm>

namespace Gateway {

namespace {

// Counts are kept per whole second while the window of the limit slides, and an instance may start
// while the requests of another still count, so part of the budget stays unused.
constexpr double UsedShare = 0.75;

std::int64_t secondNumber(Core::Clock::Monotonic now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudgetShare::SecondCounts &RetryBudgetShare::countsAt(Core::Clock::Monotonic now)
{
    const auto number = secondNumber(now);
    auto &entry = m_seconds[static_cast<std::size_t>(number) % TrackedSeconds];
    if (entry.number != number)
        entry = {number, 0, 0};
    return entry;
}

void RetryBudgetShare::noteRequest(Core::Clock::Monotonic now)
{
    ++countsAt(now).requests;
}

RetryBudgetShare::Use RetryBudgetShare::use(const RetryBudgetLimits &limits,
                                            std::optional<unsigned> instances,
                                            Core::Clock::Monotonic now) const
{
    const auto newest = secondNumber(now);
    Use use;
    unsigned requests = 0;
    for (const auto &entry : m_seconds) {
        if (entry.number < 0 || entry.number > newest)
            continue;
        if (entry.number > newest - limits.window.count())
            requests += entry.requests;
        // One second more, since the window of the limit may start within it.
        if (entry.number >= newest - limits.window.count())
            use.repeats += entry.repeats;
    }
    const double slack = instances ? limits.slack / std::max(1U, *instances) : 0;
    use.limit = UsedShare * (limits.ratio * requests + slack);
    return use;
}

bool RetryBudgetShare::tryRepeat(const RetryBudgetLimits &limits, std::optional<unsigned> instances,
                                 Core::Clock::Monotonic now)
{
    const auto current = use(limits, instances, now);
    if (current.repeats + 1 > current.limit)
        return false;
    ++countsAt(now).repeats;
    return true;
}

} // namespace Gateway
