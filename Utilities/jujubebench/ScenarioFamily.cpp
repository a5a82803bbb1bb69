#include "ScenarioFamily.h"

#include "PlacementScenario.h"

namespace Bench {

std::span<const ScenarioFamily> scenarioFamilies()
{
    static const std::vector<ScenarioFamily> families {
        {"placement", runPlacementScenario},
    };
    return families;
}

} // namespace Bench
