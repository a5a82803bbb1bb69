#include <LibAdmission/FairShare.h>
#include <LibAdmission/TeamLimits.h>

#include <algorithm>

namespace Admission {

namespace {

/// Weight of a new sample in the demand averages.
constexpr double DemandGain = 0.3;
/// A team without active requests and with a lower demand, in requests per second, is idle.
constexpr double MinRateDemand = 0.01;
/// A sibling's demand is discarded when no report has been received from it for this long.
constexpr std::chrono::milliseconds SiblingTimeout = LeaseDuration;

} // namespace

void TeamLimits::configure(const std::vector<TeamLimitPolicy> &limits)
{
    std::unordered_map<Core::TeamId, TeamLimitPolicy> configured;
    for (const auto &limit : limits)
        configured.emplace(limit.team, limit);
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        std::erase_if(shard.teams, [&](const auto &it) { return !configured.contains(it.first); });
    }
    for (const auto &limit : limits) {
        auto &shard = shardOf(limit.team);
        std::scoped_lock lock(shard.mutex);
        auto &team = shard.teams[limit.team];
        team.policy = limit;
        team.rate.setSafeShare(limit.requestsPerSecond, m_siblingIndex, m_siblingCount);
        team.concurrency.setSafeShare(limit.concurrentRequests, m_siblingIndex, m_siblingCount);
    }
}

void TeamLimits::setPosition(std::uint32_t index, std::uint32_t count)
{
    m_siblingIndex = index;
    m_siblingCount = std::max<std::uint32_t>(count, 1);
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        for (auto &[id, team] : shard.teams) {
            team.rate.setSafeShare(team.policy.requestsPerSecond, m_siblingIndex, m_siblingCount);
            team.concurrency.setSafeShare(team.policy.concurrentRequests, m_siblingIndex,
                                          m_siblingCount);
        }
    }
}

bool TeamLimits::enter(const Core::TeamId &id, Core::Clock::Monotonic now)
{
    auto &shard = shardOf(id);
    std::scoped_lock lock(shard.mutex);
    const auto it = shard.teams.find(id);
    if (it == shard.teams.end())
        return true;
    auto &team = it->second;
    ++team.arrivals;
    team.peakConcurrency = std::max(team.peakConcurrency, team.activeRequests + 1);
    const bool isFull = team.policy.concurrentRequests > 0
                        && team.activeRequests >= team.concurrency.available(now);
    if (isFull)
        return false;
    if (team.policy.requestsPerSecond > 0) {
        refill(team, now);
        if (team.tokens < 1)
            return false;
        team.tokens -= 1;
    }
    ++team.activeRequests;
    return true;
}

void TeamLimits::reenter(const Core::TeamId &id)
{
    auto &shard = shardOf(id);
    std::scoped_lock lock(shard.mutex);
    if (const auto it = shard.teams.find(id); it != shard.teams.end())
        ++it->second.activeRequests;
}

void TeamLimits::leave(const Core::TeamId &id)
{
    auto &shard = shardOf(id);
    std::scoped_lock lock(shard.mutex);
    // If the limit was added by a new configuration, earlier requests were not counted.
    if (const auto it = shard.teams.find(id);
        it != shard.teams.end() && it->second.activeRequests > 0)
        --it->second.activeRequests;
}

void TeamLimits::tick(Core::Clock::Monotonic now)
{
    const std::chrono::duration<double> elapsed =
        m_lastTick ? now - *m_lastTick : std::chrono::nanoseconds(0);
    m_lastTick = now;
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        for (auto &[id, team] : shard.teams) {
            updateDemand(team, elapsed);
            updatePlans(team, now);
        }
    }
}

std::vector<TeamLimitReport> TeamLimits::report(const Core::InstanceId &sibling,
                                                std::uint64_t answeredSequence,
                                                Core::Clock::Monotonic now)
{
    std::vector<TeamLimitReport> reports;
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        for (auto &[id, team] : shard.teams) {
            const auto planned = team.plans.find(sibling);
            const auto plan = planned == team.plans.end() ? LendingPlan() : planned->second;
            const auto rateInUse = std::min<double>(team.rateDemand, team.rate.available(now));
            TeamLimitReport it {
                .team = id,
                .rateDemand = team.rateDemand,
                .concurrencyDemand = team.concurrencyDemand,
                .rate = {team.rate.lend(sibling, plan.rate, answeredSequence, now),
                         team.rate.acknowledge(sibling, static_cast<std::uint32_t>(rateInUse),
                                               now)},
                .concurrency = {
                    team.concurrency.lend(sibling, plan.concurrency, answeredSequence, now),
                    team.concurrency.acknowledge(sibling, team.activeRequests, now)}};
            const bool isIdle = team.rateDemand < MinRateDemand && team.activeRequests == 0;
            if (!isIdle || it.rate.lease || it.concurrency.lease)
                reports.push_back(std::move(it));
        }
    }
    return reports;
}

void TeamLimits::applyReport(const Core::InstanceId &sibling, const TeamLimitReport &report,
                             Core::Clock::Monotonic answeredReportSent, Core::Clock::Monotonic now)
{
    auto &shard = shardOf(report.team);
    std::scoped_lock lock(shard.mutex);
    const auto it = shard.teams.find(report.team);
    if (it == shard.teams.end())
        return;
    auto &team = it->second;
    team.siblings[sibling] = {report.rateDemand, report.concurrencyDemand, now};
    if (report.rate.lease)
        team.rate.accept(sibling, *report.rate.lease, answeredReportSent);
    if (report.concurrency.lease)
        team.concurrency.accept(sibling, *report.concurrency.lease, answeredReportSent);
    team.rate.noteAcknowledged(sibling, report.rate.acknowledged);
    team.concurrency.noteAcknowledged(sibling, report.concurrency.acknowledged);
}

void TeamLimits::forgetSibling(const Core::InstanceId &sibling)
{
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        for (auto &[id, team] : shard.teams) {
            team.siblings.erase(sibling);
            team.rate.forgetBorrowed(sibling);
            team.concurrency.forgetBorrowed(sibling);
        }
    }
}

TeamLimits::Shard &TeamLimits::shardOf(const Core::TeamId &team)
{
    return m_shards[std::hash<Core::TeamId> {}(team) % ShardCount];
}

void TeamLimits::refill(Team &team, Core::Clock::Monotonic now) const
{
    const auto rate = static_cast<double>(team.rate.available(now));
    const double burst = std::max(rate, 1.0);
    if (!team.lastRefill) {
        team.tokens = burst;
    } else {
        const std::chrono::duration<double> elapsed = now - *team.lastRefill;
        team.tokens = std::min(burst, team.tokens + rate * elapsed.count());
    }
    team.lastRefill = now;
}

void TeamLimits::updateDemand(Team &team, std::chrono::duration<double> elapsed) const
{
    if (elapsed.count() > 0) {
        const double rate = team.arrivals / elapsed.count();
        team.rateDemand += DemandGain * (rate - team.rateDemand);
    }
    team.concurrencyDemand =
        std::max<double>(team.peakConcurrency, team.concurrencyDemand * (1 - DemandGain));
    team.arrivals = 0;
    team.peakConcurrency = team.activeRequests;
}

void TeamLimits::updatePlans(Team &team, Core::Clock::Monotonic now) const
{
    std::erase_if(team.siblings,
                  [now](const auto &it) { return now - it.second.receivedAt > SiblingTimeout; });
    const auto rates = planLending(
        team.rate.safeShare(),
        targets(team.policy.requestsPerSecond, team.rateDemand, team, &SiblingDemand::rate), 0);
    const auto concurrencies =
        planLending(team.concurrency.safeShare(),
                    targets(team.policy.concurrentRequests, team.concurrencyDemand, team,
                            &SiblingDemand::concurrency),
                    0);
    team.plans.clear();
    std::size_t n = 0;
    for (const auto &[sibling, demand] : team.siblings) {
        ++n;
        team.plans[sibling] = {rates[n], concurrencies[n]};
    }
}

std::vector<double> TeamLimits::targets(double limit, double ownDemand, const Team &team,
                                        double SiblingDemand::*demand) const
{
    // All instances have the same weight: no instance's callers take precedence over another's.
    std::vector<Claimant> claimants {{ownDemand, 1}};
    for (const auto &[sibling, it] : team.siblings)
        claimants.push_back({it.*demand, 1});
    const auto knownInstances = static_cast<double>(claimants.size());
    const double knownLimit = limit * std::min(1.0, knownInstances / m_siblingCount);
    auto shares = weightedMaxMin(knownLimit, claimants);
    double unclaimed = knownLimit;
    for (const auto share : shares)
        unclaimed -= share;
    for (auto &share : shares)
        share += std::max(0.0, unclaimed) / knownInstances;
    return shares;
}

} // namespace Admission
