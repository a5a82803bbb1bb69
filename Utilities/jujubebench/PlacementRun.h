#pragma once

#include "Deployment.h"
#include "Policy.h"
#include "RunStatistics.h"

#include <random>
#include <set>

namespace Bench {

/// Kind of a fault that a run injects.
enum class FaultKind {
    EngineCrash,
    InstanceRestart,
    DataCentreCut,
    SlowEngine,
};

/// Describes one fault. Its targets are the first `count` engines, instances or data centres.
struct Fault
{
    FaultKind kind = FaultKind::EngineCrash;
    EventQueue::Duration at {0};
    EventQueue::Duration duration {0};
    std::size_t count = 1;
    /// Remaining fraction of the speed, for SlowEngine.
    double speed = 1;
};

/// Simulates one policy under the load of one deployment, with several instances that each have
/// their own delayed view of the engines.
class PlacementRun
{
public:
    /// The work items must outlive the run.
    PlacementRun(const Deployment &deployment, const std::vector<Fault> &faults,
                 const std::vector<WorkItem> &work, std::uint64_t seed);
    PlacementRun(const PlacementRun &) = delete;
    PlacementRun &operator=(const PlacementRun &) = delete;

    /// Routes all work items by the policy. May be called only once.
    RunStatistics run(const std::string &policyName,
                      const std::vector<std::string> &overrides = {});

private:
    struct Attempt
    {
        std::size_t instance = 0;
        std::size_t engine = 0;
    };

    /// Creates the engines with callbacks into this run.
    void makeEngines();
    /// Schedules the fault and its end.
    void scheduleFault(const Fault &fault);
    /// Restarts the first `count` instances at once.
    void restartInstances(std::size_t count);
    /// Routes the item from the instance, and tries other engines while connections are refused.
    void place(std::size_t instance, const WorkItem &item);
    /// Returns the engines that the instance can reach and that have not refused it recently.
    std::vector<std::size_t> candidates(std::size_t instance) const;
    /// Returns whether no data centre cut separates the instance from the engine.
    bool isReachable(std::size_t instance, std::size_t engine) const;
    /// Sends the engine's load to every instance and schedules the next report.
    void reportLoad(std::size_t engine);
    /// Lets the instance send updates to its siblings and schedules the next exchange.
    void exchange(std::size_t instance);
    /// Delivers a cache change after a delay, or drops it.
    void reportCacheChange(std::size_t engine, CacheChange change, std::uint64_t block);
    void onFirstToken(std::size_t engine, std::uint64_t id, std::uint64_t cachedTokens);
    void onFinished(std::uint64_t id);
    void onFailed(std::uint64_t id);
    const WorkItem &item(std::uint64_t id) const { return m_work[id - 1]; }

    Deployment m_deployment;
    std::vector<Fault> m_faults;
    const std::vector<WorkItem> &m_work;
    std::uint64_t m_seed;
    std::mt19937_64 m_rng;
    Core::ManualClock m_clock;
    EventQueue m_queue {m_clock};
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::unique_ptr<Policy> m_policy;
    // Engines that refused each instance, until a load report shows that they are up again.
    std::vector<std::set<std::size_t>> m_refused;
    std::set<std::size_t> m_cutDataCentres;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    RunStatistics m_statistics;
};

} // namespace Bench
