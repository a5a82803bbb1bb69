#pragma once

#include "Deployment.h"
#include "Policy.h"
#include "RunStatistics.h"

#include <random>
#include <set>

namespace Bench {

/// What breaks in a run.
enum class FaultKind {
    EngineCrash,
    InstanceRestart,
    DataCentreCut,
    SlowEngine,
};

/// One fault. Its targets are the first `count` engines, instances or data centres.
struct Fault
{
    FaultKind kind = FaultKind::EngineCrash;
    EventQueue::Duration at {0};
    EventQueue::Duration duration {0};
    std::size_t count = 1;
    /// Remaining share of the speed, for SlowEngine.
    double speed = 1;
};

/// One policy over one deployment's work: several instances, each with its own lagging view.
class PlacementRun
{
public:
    /// The work must outlive the run.
    PlacementRun(const Deployment &deployment, const std::vector<Fault> &faults,
                 const std::vector<WorkItem> &work, std::uint64_t seed);
    PlacementRun(const PlacementRun &) = delete;
    PlacementRun &operator=(const PlacementRun &) = delete;

    /// Runs all work through the policy. Call once.
    RunStatistics run(const std::string &policyName,
                      const std::vector<std::string> &overrides = {});

private:
    struct Attempt
    {
        std::size_t instance = 0;
        std::size_t engine = 0;
    };

    /// Builds the engines with hooks into this run.
    void makeEngines();
    /// Schedules the fault and its end.
    void scheduleFault(const Fault &fault);
    /// Restarts the first `count` instances at once.
    void restartInstances(std::size_t count);
    /// Routes the item from the instance, trying others while connections are refused.
    void place(std::size_t instance, const WorkItem &item);
    /// Engines that the instance can reach and has not seen refuse lately.
    std::vector<std::size_t> candidates(std::size_t instance) const;
    /// Whether no cut lies between the instance and the engine.
    bool isReachable(std::size_t instance, std::size_t engine) const;
    /// Sends every instance the engine's load, and again after the interval.
    void reportLoad(std::size_t engine);
    /// Lets the instance tell its siblings, and again after the interval.
    void exchange(std::size_t instance);
    /// Passes on a cache change late, or loses it.
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
    // Engines that refused an instance, until a load report shows them up again.
    std::vector<std::set<std::size_t>> m_refused;
    std::set<std::size_t> m_cutDataCentres;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    RunStatistics m_statistics;
};

} // namespace Bench
