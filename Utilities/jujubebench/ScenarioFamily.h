#pragma once

#include "Report.h"

#include <toml.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Bench {

/// Command-line options of a run.
struct RunOptions
{
    std::uint64_t seed = 1;
    /// Whether to run a shorter version of the scenario, with the same targets.
    bool isQuick = false;
    /// Policies to run; all when empty.
    std::vector<std::string> policies;
    /// Settings of LibPlacement to override, as name=value.
    std::vector<std::string> overrides;
};

/// Describes a kind of scenario. A scenario file selects its family by `family = "..."`.
struct ScenarioFamily
{
    std::string name;
    /// Runs one scenario file. Throws Core::Error(SettingsInvalid) if the file is invalid.
    std::function<ScenarioReport(const toml::value &scenario, const RunOptions &options)> run;
};

/// Returns all families. A new family adds a pair of files and one line in ScenarioFamily.cpp.
std::span<const ScenarioFamily> scenarioFamilies();

} // namespace Bench
