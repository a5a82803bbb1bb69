#include "Deployment.h"

#include <LibCore/Error.h>

namespace Bench {

namespace {

using std::chrono::seconds;

std::vector<EngineSettings> makeEngines(const std::string &prefix, std::size_t count,
                                        std::size_t dataCentres, std::size_t cacheBlocks)
{
    std::vector<EngineSettings> engines;
    for (std::size_t i = 0; i < count; ++i) {
        EngineSettings engine;
        engine.name = prefix + "-" + std::to_string(i);
        engine.dataCentre = i % dataCentres;
        engine.cacheBlocks = cacheBlocks;
        engines.push_back(engine);
    }
    return engines;
}

/// Returns eight teams, three of them large.
std::vector<TeamLoad> eightTeams()
{
    return {{"team-0", 8}, {"team-1", 6}, {"team-2", 4}, {"team-3", 1},
            {"team-4", 1}, {"team-5", 1}, {"team-6", 1}, {"team-7", 1}};
}

/// Long style guides, class guides nested under them, and spreads that are each checked a few
/// times.
Deployment liit()
{
    Deployment deployment {"liit", 3, 7, makeEngines("keelemudel", 12, 3, 64), {}, {}};
    deployment.work.teams = eightTeams();
    deployment.work.levels = {{1, 1, 0, seconds(0)},
                              {2, 4, 0.5, seconds(0)},
                              {4, 2, 0.8, seconds(0)},
                              {6, 2, 0.8, seconds(20)}};
    deployment.work.requestsPerSecond = 24;
    deployment.work.meanOutputTokens = 80;
    return deployment;
}

/// Festival rules shared by every caller, temples' pages nested under them, and short
/// conversations.
Deployment commission()
{
    Deployment deployment {"commission", 4, 8, makeEngines("lantern-llm", 18, 4, 64), {}, {}};
    deployment.work.teams = eightTeams();
    deployment.work.levels = {{1, 3, 0, seconds(0)},
                              {10, 2, 1, seconds(0)},
                              {4, 1, 0.5, seconds(0)},
                              {8, 1, 0.5, seconds(10)}};
    deployment.work.requestsPerSecond = 50;
    deployment.work.urgentShare = 0.9;
    deployment.work.meanOutputTokens = 100;
    return deployment;
}

} // namespace

Deployment deploymentByName(std::string_view name)
{
    if (name == "liit")
        return liit();
    if (name == "commission")
        return commission();
    throw Core::Error(Core::ErrorKind::SettingsInvalid, "unknown deployment " + std::string(name));
}

} // namespace Bench
