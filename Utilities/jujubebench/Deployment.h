#pragma once

#include "FakeEngine.h"
#include "Workload.h"

#include <string_view>

namespace Bench {

/// Configures the delay and loss of the information that an instance receives about the engines.
struct ViewSettings
{
    std::chrono::milliseconds loadReportInterval {200};
    std::chrono::milliseconds loadReportLag {100};
    std::chrono::milliseconds cacheEventLag {500};
    /// Interval at which an instance sends its updates to its siblings; zero disables the exchange.
    std::chrono::milliseconds exchangeInterval {1000};
    /// Fraction of the cache events that are lost.
    double cacheEventLoss = 0.05;
};

/// Describes one deployment: its engines, its entry instances and the load that its teams send.
struct Deployment
{
    std::string name;
    std::size_t dataCentres = 1;
    std::size_t instances = 6;
    std::vector<EngineSettings> engines;
    WorkloadSettings work;
    ViewSettings views;
};

/// Returns the deployment "liit" or "commission" at its full size. Throws
/// Core::Error(SettingsInvalid) for any other name.
Deployment deploymentByName(std::string_view name);

} // namespace Bench
