#pragma once

#include "ScenarioFamily.h"

namespace Bench {

/// Runs floods, teams of unequal demand and contracts on the same seeded load, and compares what
/// admission gives each class and team with the same load sent to the engines directly.
ScenarioReport runAdmissionScenario(const toml::value &scenario, const RunOptions &options);

} // namespace Bench
