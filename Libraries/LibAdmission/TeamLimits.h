#pragma once

#include <LibAdmission/LeasedShare.h>
#include <LibAdmission/Policy.h>
#include <LibAdmission/SiblingReport.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Admission {

/// The part of the teams' rate and concurrency limits that this instance may use. Each limit is
/// divided among the siblings by leases, so that the parts in use add up to the limit at most, and
/// an instance that is cut off keeps its safe part. A rate's burst is one second's worth of it.
/// Every function is safe from any thread; teams are spread over locks.
class TeamLimits
{
public:
    /// Replaces the limits. Requests under way stay counted.
    void configure(const std::vector<TeamLimitPolicy> &limits);
    void setPosition(std::uint32_t index, std::uint32_t count);

    /// Counts a request in. False when the team has reached a limit.
    bool enter(const Core::TeamId &team, Core::Clock::Monotonic now);
    /// Counts a resumed request in, to which no limit applies again.
    void reenter(const Core::TeamId &team);
    /// Counts a request out that entered.
    void leave(const Core::TeamId &team);

    /// Renews demand and lending plans. Called before each round of reports, by one thread at a
    /// time.
    void tick(Core::Clock::Monotonic now);
    std::vector<TeamLimitReport> report(const Core::InstanceId &sibling,
                                        std::uint64_t answeredSequence, Core::Clock::Monotonic now);
    void applyReport(const Core::InstanceId &sibling, const TeamLimitReport &report,
                     Core::Clock::Monotonic answeredReportSent, Core::Clock::Monotonic now);
    void forgetSibling(const Core::InstanceId &sibling);

private:
    struct SiblingDemand
    {
        double rate = 0;
        double concurrency = 0;
        Core::Clock::Monotonic receivedAt;
    };
    struct LendingPlan
    {
        std::uint32_t rate = 0;
        std::uint32_t concurrency = 0;
    };
    struct Team
    {
        TeamLimitPolicy policy;
        LeasedShare rate;
        LeasedShare concurrency;
        double tokens = 0;
        std::optional<Core::Clock::Monotonic> lastRefill;
        std::uint32_t activeRequests = 0;
        /// Requests that asked to enter since the last tick.
        std::uint32_t arrivals = 0;
        std::uint32_t peakConcurrency = 0;
        double rateDemand = 0;
        double concurrencyDemand = 0;
        std::map<Core::InstanceId, SiblingDemand> siblings;
        std::map<Core::InstanceId, LendingPlan> plans;
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<Core::TeamId, Team> teams;
    };
    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const Core::TeamId &team);
    void refill(Team &team, Core::Clock::Monotonic now) const;
    void updateDemand(Team &team, std::chrono::duration<double> elapsed) const;
    void updatePlans(Team &team, Core::Clock::Monotonic now) const;
    std::vector<double> targets(double limit, double ownDemand, const Team &team,
                                double SiblingDemand::*demand) const;

    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint32_t> m_siblingIndex {0};
    std::atomic<std::uint32_t> m_siblingCount {1};
    std::optional<Core::Clock::Monotonic> m_lastTick;
};

} // namespace Admission
