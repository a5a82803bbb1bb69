#pragma once

#include "FakeEngine.h"
#include "Workload.h"

#include <string_view>

namespace Bench {

/// How late and how lossy an instance's knowledge of the engines is.
struct ViewSettings
{
    std::chrono::milliseconds loadReportInterval {200};
    std::chrono::milliseconds loadReportLag {100};
    std::chrono::milliseconds cacheEventLag {500};
    /// How often an instance tells its siblings what is new; zero is never.
    std::chrono::milliseconds exchangeInterval {1000};
    /// Share of cache events that never arrive.
    double cacheEventLoss = 0.05;
};

/// One deployment of the brief: engines, entry instances and the work that its teams send.
struct Deployment
{
    std::string name;
    std::size_t dataCentres = 1;
    std::size_t instances = 6;
    std::vector<EngineSettings> engines;
    WorkloadSettings work;
    ViewSettings views;
};

/// The deployment "liit" or "commission" at the size of the brief. Throws
/// Core::Error(SettingsInvalid) for another name.
Deployment deploymentByName(std::string_view name);

} // namespace Bench
