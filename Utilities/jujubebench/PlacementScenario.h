#pragma once

#include "ScenarioFamily.h"

namespace Bench {

/// Compares the routing policies on the same seeded load by prefix hit rate, recomputed tokens and
/// time to first token, under the faults of the scenario file.
ScenarioReport runPlacementScenario(const toml::value &scenario, const RunOptions &options);

} // namespace Bench
