#include <LibGateway/RetryBudgetShare.h>

namespace Gateway {

namespace {

// Counts are kept per whole second while the window of the limit slides, and the parts of the slack
// may add up to more than 1 while instances do not know each other, so part of the budget stays
// unused.
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

RetryBudgetShare::Use RetryBudgetShare::use(const RetryBudgetLimits &limits, double slackPart,
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
    use.limit = UsedShare * (limits.ratio * requests + limits.slack * slackPart);
    return use;
}

bool RetryBudgetShare::tryRepeat(const RetryBudgetLimits &limits, double slackPart,
                                 Core::Clock::Monotonic now)
{
    const auto current = use(limits, slackPart, now);
    if (current.repeats + 1 > current.limit)
        return false;
    ++countsAt(now).repeats;
    return true;
}

} // namespace Gateway
