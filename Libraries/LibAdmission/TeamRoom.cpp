#include <LibAdmission/FairShare.h>
#include <LibAdmission/TeamRoom.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>

namespace Admission {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

using Milliseconds = TeamRoom::Milliseconds;

// Over which rates are measured. With 3 s the capacity oscillates, and engines are idle at times.
constexpr Milliseconds RateTime {6'000};
// The least time that a rate is computed over, after a service gets its first prompt.
constexpr Milliseconds MinMeasuredTime {500};
// Over which the waits of prompts are averaged. With 1 s the capacity follows them too late.
constexpr Milliseconds WaitTime {300};
// A division is reused for this long, because it sorts all teams.
constexpr auto DivisionInterval = 100ms;
// Reports that are older do not count.
constexpr auto MaxReportAge = 5s;
// A wait above this share of the target is long. Less urgent prompts are refused for it.
constexpr double LongWaitShare = 0.5;
// A service becomes short when this share of its prompts would wait long.
constexpr double ShortPromptShare = 0.1;
// It is no longer short after waits below this share of a long one for this time.
constexpr double RelaxedWait = 0.1;
constexpr auto RelaxedTime = 3s;
// The waits of fewer prompts, weighted by age, say nothing about the present.
constexpr double MinPrompts = 0.01;
// Bounds the effect of single very long waits.
constexpr double MaxWait = 2;
// The waits that the capacity is adjusted to, as a share of a long one: engines always have work,
// and few prompts wait long.
constexpr double TargetWait = 0.5;
// How much the capacity is above or below what was admitted, for the difference to that wait.
constexpr double CapacityGain = 0.3;
constexpr double MinCapacityFactor = 0.75;
// While prompts hardly wait, the capacity doubles in this time: what was measured is too low.
constexpr std::chrono::duration<double> GrowthTime = 1s;
// The capacity is at least this share of the most that was admitted in about a minute. Without it,
// waits that do not depend on what is admitted would lower the capacity without end.
constexpr double MinPeakShare = 0.6;
constexpr Milliseconds PeakTime {60'000};
// The credit that a limited team collects while it sends nothing.
constexpr double MaxCreditSeconds = 0.5;
constexpr auto MinRetryAfter = 100ms;
// Teams below this rate are forgotten.
constexpr double MinTokensPerSecond = 0.01;

} // namespace

void TeamRoom::DecayingSum::add(double amount, Milliseconds decayTime, Monotonic now)
{
    m_sum = std::max(0.0, value(decayTime, now) + amount);
    m_updated = std::max(m_updated, now);
}

void TeamRoom::DecayingSum::set(double amount, Monotonic now)
{
    m_sum = amount;
    m_updated = now;
}

double TeamRoom::DecayingSum::value(Milliseconds decayTime, Monotonic now) const
{
    const Milliseconds age = std::max(now, m_updated) - m_updated;
    return m_sum * std::exp(-age / decayTime);
}

void TeamRoom::setWeights(const std::map<std::string, double> &weights)
{
    m_weights.clear();
    m_leastWeight = 1;
    for (const auto &[team, weight] : weights) {
        m_leastWeight = m_weights.empty() ? weight : std::min(m_leastWeight, weight);
        m_weights[Core::hash64(team)] = weight;
    }
}

double TeamRoom::weightOf(std::uint64_t team) const
{
    const auto it = m_weights.find(team);
    return it == m_weights.end() ? m_leastWeight : it->second;
}

double TeamRoom::rateOf(const Service &service, const DecayingSum &sum, Monotonic now)
{
    const Milliseconds age = std::max<Milliseconds>(MinMeasuredTime, now - service.since);
    const auto measuredTime = RateTime * (1 - std::exp(-age / RateTime));
    return sum.value(RateTime, now) / std::chrono::duration<double>(measuredTime).count();
}

TeamRoom::Service &TeamRoom::serviceOf(const std::string &name)
{
    auto &service = m_services[Core::hash64(name)];
    if (service.name.empty())
        service.name = name;
    return service;
}

TeamRoom::Team &TeamRoom::teamOf(Service &service, const std::string &name)
{
    auto &team = service.teams[Core::hash64(name)];
    if (team.name.empty())
        team.name = name;
    return team;
}

void TeamRoom::noteAsked(const std::string &service, const std::string &team, std::uint64_t tokens,
                         Monotonic now)
{
    auto &state = serviceOf(service);
    if (state.teams.empty())
        state.since = now;
    teamOf(state, team).asked.add(static_cast<double>(tokens), RateTime, now);
}

void TeamRoom::noteWait(const std::string &service, Milliseconds wait, Milliseconds target,
                        Monotonic now)
{
    if (target <= Milliseconds(0))
        return;
    const auto relative = std::clamp(wait / (LongWaitShare * target), 0.0, MaxWait);
    auto &state = serviceOf(service);
    state.prompts.add(1, WaitTime, now);
    state.slowPrompts.add(relative > 1 ? 1 : 0, WaitTime, now);
    state.waits.add(relative, WaitTime, now);
}

std::optional<TeamExcess> TeamRoom::refuse(const std::string &service, const std::string &team,
                                           std::uint64_t tokens, Monotonic now)
{
    const auto hash = Core::hash64(service);
    auto &state = serviceOf(service);
    update(hash, state, now);
    auto &entry = teamOf(state, team);
    if (!entry.isLimited)
        return std::nullopt;
    addCredit(entry, now);
    if (entry.credit >= 0)
        return std::nullopt;
    const auto missing = static_cast<double>(tokens) - entry.credit;
    const std::chrono::duration<double> wait(missing / std::max(1.0, entry.creditPerSecond));
    return TeamExcess {
        standing(service, team, now),
        std::max<milliseconds>(MinRetryAfter, std::chrono::duration_cast<milliseconds>(wait))};
}

void TeamRoom::noteAdmitted(const std::string &service, const std::string &team,
                            std::uint64_t tokens, Monotonic now)
{
    auto &entry = teamOf(serviceOf(service), team);
    entry.admitted.add(static_cast<double>(tokens), RateTime, now);
    addCredit(entry, now);
    if (entry.isLimited)
        entry.credit -= static_cast<double>(tokens);
}

void TeamRoom::takeBackAdmitted(const std::string &service, const std::string &team,
                                std::uint64_t tokens, Monotonic now)
{
    auto &entry = teamOf(serviceOf(service), team);
    entry.admitted.add(-static_cast<double>(tokens), RateTime, now);
    if (entry.isLimited)
        entry.credit += static_cast<double>(tokens);
}

void TeamRoom::addCredit(Team &team, Monotonic now)
{
    const std::chrono::duration<double> time = std::max(now, team.creditTime) - team.creditTime;
    team.creditTime = std::max(now, team.creditTime);
    const auto most = std::max(0.0, team.creditPerSecond * MaxCreditSeconds);
    team.credit = std::min(most, team.credit + time.count() * team.creditPerSecond);
}

double TeamRoom::use(const std::string &service, const std::string &team, Monotonic now)
{
    const auto own = standing(service, team, now);
    if (own.admittedPerSecond <= 0)
        return 0;
    return own.admittedPerSecond / std::max(MinTokensPerSecond, own.sharePerSecond);
}

TeamStanding TeamRoom::standing(const std::string &service, const std::string &team, Monotonic now)
{
    const auto hash = Core::hash64(service);
    const auto it = m_services.find(hash);
    if (it == m_services.end())
        return {};
    update(hash, it->second, now);
    const auto found = it->second.standings.find(Core::hash64(team));
    TeamStanding standing = found == it->second.standings.end() ? TeamStanding {} : found->second;
    standing.capacityPerSecond = it->second.capacity;
    if (hasReports(now))
        standing.reportAge = std::chrono::duration_cast<milliseconds>(now - *m_reportTime);
    return standing;
}

bool TeamRoom::isShort(const std::string &service, Monotonic now)
{
    const auto hash = Core::hash64(service);
    const auto it = m_services.find(hash);
    if (it == m_services.end())
        return false;
    update(hash, it->second, now);
    return it->second.isShort;
}

std::vector<TeamRate> TeamRoom::ownRates(std::size_t maxEntries, Monotonic now) const
{
    std::vector<TeamRate> rates;
    for (const auto &[service, state] : m_services) {
        for (const auto &[team, entry] : state.teams)
            rates.push_back({service, team, rateOf(state, entry.asked, now),
                             rateOf(state, entry.admitted, now)});
    }
    return largestRates(std::move(rates), maxEntries);
}

std::vector<TeamRate> largestRates(std::vector<TeamRate> rates, std::size_t maxEntries)
{
    const auto size = std::min(maxEntries, rates.size());
    std::partial_sort(
        rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(size), rates.end(),
        [](const TeamRate &a, const TeamRate &b) { return a.askedPerSecond > b.askedPerSecond; });
    rates.resize(size);
    return rates;
}

void TeamRoom::setReported(const std::vector<TeamRate> &rates, Monotonic measured)
{
    m_reported = rates;
    m_reportTime = measured;
}

bool TeamRoom::hasReports(Monotonic now) const
{
    return m_reportTime && !m_reported.empty() && now - *m_reportTime < MaxReportAge;
}

std::vector<TeamRoom::NamedStanding> TeamRoom::standings(Monotonic now)
{
    std::vector<NamedStanding> all;
    for (auto &[hash, service] : m_services) {
        // Before the loop, because an update removes teams.
        update(hash, service, now);
        for (const auto &[team, entry] : service.teams)
            all.push_back({service.name, entry.name, standing(service.name, entry.name, now)});
    }
    return all;
}

void TeamRoom::update(std::uint64_t hash, Service &service, Monotonic now)
{
    if (service.divided && now - *service.divided < DivisionInterval)
        return;
    service.divided = now;
    std::erase_if(service.teams, [&service, now](const auto &item) {
        return rateOf(service, item.second.asked, now) < MinTokensPerSecond
               && rateOf(service, item.second.admitted, now) < MinTokensPerSecond;
    });
    updateShortage(service, now);
    sumRates(hash, service, now);
    divide(service, now);
    updateCredits(service, now);
}

void TeamRoom::updateShortage(Service &service, Monotonic now)
{
    const auto prompts = service.prompts.value(WaitTime, now);
    const bool isMeasured = prompts >= MinPrompts;
    const auto wait = isMeasured ? service.waits.value(WaitTime, now) / prompts : 0;
    const auto slowShare = isMeasured ? service.slowPrompts.value(WaitTime, now) / prompts : 0;
    if (slowShare >= ShortPromptShare)
        service.isShort = true;
    if (wait >= RelaxedWait)
        service.lastPressure = now;
    if (now - service.lastPressure >= RelaxedTime)
        service.isShort = false;
    const std::chrono::duration<double> relaxed =
        std::min<std::chrono::duration<double>>(RelaxedTime, now - service.lastPressure);
    service.capacityFactor = std::max(MinCapacityFactor, 1 + CapacityGain * (TargetWait - wait))
                             * std::exp2(relaxed / GrowthTime);
}

void TeamRoom::sumRates(std::uint64_t hash, Service &service, Monotonic now)
{
    service.standings.clear();
    for (const auto &[team, entry] : service.teams) {
        auto &standing = service.standings[team];
        standing.askedPerSecond = rateOf(service, entry.asked, now);
        standing.admittedPerSecond = rateOf(service, entry.admitted, now);
    }
    if (!hasReports(now))
        return;
    for (const auto &rate : m_reported) {
        if (rate.service != hash)
            continue;
        auto &standing = service.standings[rate.team];
        standing.askedPerSecond += rate.askedPerSecond;
        standing.admittedPerSecond += rate.admittedPerSecond;
    }
}

void TeamRoom::divide(Service &service, Monotonic now) const
{
    double admitted = 0;
    std::vector<Claimant> claimants;
    claimants.reserve(service.standings.size());
    for (const auto &[team, standing] : service.standings) {
        claimants.push_back({standing.askedPerSecond, weightOf(team)});
        admitted += standing.admittedPerSecond;
    }
    // The first prompts of a service fill the queues, so that more is admitted than is served.
    if (now - service.since >= RateTime && service.peak.value(PeakTime, now) < admitted)
        service.peak.set(admitted, now);
    const auto least = MinPeakShare * service.peak.value(PeakTime, now);
    service.capacity = service.isShort ? std::max(service.capacityFactor * admitted, least) : 0;
    std::size_t n = 0;
    const auto shares = weightedMaxMin(service.capacity, claimants);
    for (auto &[team, standing] : service.standings) {
        standing.sharePerSecond = service.isShort ? shares[n] : standing.askedPerSecond;
        ++n;
    }
}

void TeamRoom::updateCredits(Service &service, Monotonic now)
{
    for (auto &[team, entry] : service.teams) {
        const auto &standing = service.standings[team];
        const bool isLimited = standing.sharePerSecond < standing.askedPerSecond;
        addCredit(entry, now);
        const auto own = rateOf(service, entry.asked, now);
        entry.creditPerSecond =
            isLimited ? standing.sharePerSecond * own / standing.askedPerSecond : 0;
        if (isLimited != entry.isLimited)
            entry.credit = 0;
        entry.isLimited = isLimited;
    }
}

} // namespace Admission
