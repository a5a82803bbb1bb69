#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/TeamReports.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace Gateway {

namespace {

/// Rounds up, so that a small team does not vanish.
std::uint32_t wireRate(double tokensPerSecond)
{
    constexpr double Most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::ceil(tokensPerSecond), 0.0, Most));
}

} // namespace

std::vector<Admission::TeamRate> readTeamRates(const Wire::SiblingReport &report)
{
    std::vector<Admission::TeamRate> rates;
    if (!report.team_demands())
        return rates;
    rates.reserve(report.team_demands()->size());
    for (const auto *entry : *report.team_demands())
        rates.push_back({entry->service(), entry->team(),
                         static_cast<double>(entry->asked_per_second()),
                         static_cast<double>(entry->admitted_per_second())});
    return rates;
}

std::vector<Wire::TeamDemand> wireTeamRates(const std::vector<Admission::TeamRate> &rates)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, Admission::TeamRate> sums;
    for (const auto &rate : rates) {
        auto &sum = sums[{rate.service, rate.team}];
        sum.service = rate.service;
        sum.team = rate.team;
        sum.askedPerSecond += rate.askedPerSecond;
        sum.admittedPerSecond += rate.admittedPerSecond;
    }
    std::vector<Admission::TeamRate> entries;
    entries.reserve(sums.size());
    for (const auto &[key, sum] : sums)
        entries.push_back(sum);
    std::vector<Wire::TeamDemand> demands;
    for (const auto &entry : Admission::largestRates(std::move(entries), MaxTeamsPerReport))
        demands.emplace_back(entry.service, entry.team, wireRate(entry.askedPerSecond),
                             wireRate(entry.admittedPerSecond));
    return demands;
}

} // namespace Gateway
