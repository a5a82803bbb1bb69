#include "ScenarioFamily.h"

#include "AdmissionScenario.h"
#include "PlacementScenario.h"

namespace Bench {

std::span<const ScenarioFamily> scenarioFamilies()
{
    static const std::vector<ScenarioFamily> families {
        {"placement", runPlacementScenario},
        {"admission", runAdmissionScenario},
    };
    return families;
}

} // namespace Bench
