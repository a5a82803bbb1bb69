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

/// Enforces this instance's shares of the teams' rate and concurrency limits. Each limit is divided
/// among the siblings by leases, so that the shares in use never exceed it in total, and an
/// instance that is cut off keeps its safe share. The rate limit allows bursts of one second's
/// worth of requests. All functions are thread-safe; the teams are sharded over several locks.
class TeamLimits
{
public:
    /// Replaces the limits. Requests that are waiting or running remain counted.
    void configure(const std::vector<TeamLimitPolicy> &limits);
    void setPosition(std::uint32_t index, std::uint32_t count);

    /// Counts a new request. Returns false, without counting it, if the team has reached a limit.
    bool enter(const Core::TeamId &team, Core::Clock::Monotonic now);
    /// Counts a resumed request, to which the limits do not apply again.
    void reenter(const Core::TeamId &team);
    /// Removes a request counted by enter() or reenter() from the count.
    void leave(const Core::TeamId &team);

    /// Updates the demands and the lending plans. Must be called before each round of reports, by
    /// one thread at a time.
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
        /// Calls of enter() since the last tick, including refused ones.
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
