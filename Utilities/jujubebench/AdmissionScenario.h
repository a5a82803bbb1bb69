#pragma once

#include "ScenarioFamily.h"

namespace Bench {

/// Floods, teams of unequal demand and contracts on the same seeded work: what admission gives to
/// each class and team, beside the same work sent to the engines directly.
ScenarioReport runAdmissionScenario(const toml::value &scenario, const RunOptions &options);

} // namespace Bench
