#pragma once

#include "Report.h"

#include <toml.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Bench {

/// What the command line says about a run.
struct RunOptions
{
    std::uint64_t seed = 1;
    /// A shorter run of the same scenario, with the same targets.
    bool isQuick = false;
    /// Only these policies, or all when empty.
    std::vector<std::string> policies;
    /// Settings of our placement to try in place of its own, as name=value.
    std::vector<std::string> overrides;
};

/// A kind of scenario. A scenario file names its family by `family = "..."`.
struct ScenarioFamily
{
    std::string name;
    /// Runs one scenario file. Throws Core::Error(SettingsInvalid) on a bad file.
    std::function<ScenarioReport(const toml::value &scenario, const RunOptions &options)> run;
};

/// Every family. A new one adds a file pair and one line in ScenarioFamily.cpp.
std::span<const ScenarioFamily> scenarioFamilies();

} // namespace Bench
