#include "RunStatistics.h"

#include <algorithm>
#include <cmath>

namespace Bench {

namespace {

bool isWithin(const RequestOutcome &outcome, EventQueue::Duration from, EventQueue::Duration to)
{
    return outcome.arrival >= from && outcome.arrival < to;
}

} // namespace

double RunStatistics::hitRate(EventQueue::Duration from, EventQueue::Duration to) const
{
    const auto prompt = promptTokens(from, to);
    if (prompt == 0)
        return 0;
    return 1 - static_cast<double>(recomputedTokens(from, to)) / static_cast<double>(prompt);
}

std::uint64_t RunStatistics::recomputedTokens(EventQueue::Duration from,
                                              EventQueue::Duration to) const
{
    std::uint64_t sum = 0;
    for (const auto &outcome : outcomes) {
        if (isWithin(outcome, from, to))
            sum += outcome.promptTokens - outcome.cachedTokens;
    }
    return sum;
}

std::uint64_t RunStatistics::promptTokens(EventQueue::Duration from, EventQueue::Duration to) const
{
    std::uint64_t sum = 0;
    for (const auto &outcome : outcomes) {
        if (isWithin(outcome, from, to))
            sum += outcome.promptTokens;
    }
    return sum;
}

std::chrono::duration<double> RunStatistics::firstTokenQuantile(double share,
                                                                EventQueue::Duration from,
                                                                EventQueue::Duration to,
                                                                bool isUrgentOnly) const
{
    std::vector<EventQueue::Duration> times;
    for (const auto &outcome : outcomes) {
        if (!isWithin(outcome, from, to) || (isUrgentOnly && !outcome.isUrgent))
            continue;
        times.push_back(outcome.isAnswered ? outcome.firstToken - outcome.arrival
                                           : EventQueue::Duration::max());
    }
    if (times.empty())
        return std::chrono::duration<double>(0);
    std::sort(times.begin(), times.end());
    const auto rank = std::ceil(share * static_cast<double>(times.size()));
    const auto index = std::min(times.size(), static_cast<std::size_t>(rank)) - 1;
    return times[index];
}

std::size_t RunStatistics::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(
        outcomes.begin(), outcomes.end(), [](const auto &outcome) { return !outcome.isAnswered; }));
}

std::chrono::duration<double> RunStatistics::recoveryTime(EventQueue::Duration event, double level,
                                                          EventQueue::Duration window,
                                                          EventQueue::Duration end) const
{
    constexpr std::chrono::milliseconds Step {100};
    for (EventQueue::Duration time = event; time + window <= end; time += Step) {
        if (hitRate(time, time + window) >= level)
            return time - event;
    }
    return end - event;
}

} // namespace Bench
