#include "PlacementScenario.h"

#include "PlacementRun.h"

#include <LibCore/Error.h>

#include <algorithm>
#include <map>

namespace Bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Policy whose results are compared with the targets.
constexpr std::string_view EvaluatedPolicy = "placement";

// Fixed targets of the project, independent of the measured values.
constexpr double MinShareOfOracle = 0.95;
constexpr double MinGainOverLeastLoaded = 1.3;
constexpr double MaxRecomputedBeyondOracle = 0.10;
constexpr double SteadyShareAfterFault = 0.9;
constexpr seconds MaxRecoveryTime {5};
/// Window of arrivals whose hit rate decides whether the hit rate has recovered.
constexpr seconds RecoveryWindow {1};

/// Holds the parsed contents of a scenario file.
struct Scenario
{
    std::string name;
    std::vector<std::string> deployments;
    seconds duration {60};
    seconds quickDuration {30};
    seconds warmUp {10};
    ViewSettings views;
    double loadFactor = 1;
    /// Cache size of every engine in blocks; zero keeps the deployment's value.
    std::size_t cacheBlocks = 0;
    bool hasShift = false;
    bool includesAblations = false;
    bool checksSteadyTargets = false;
    bool checksRecoveryTarget = false;
    /// Time of the shift or the faults.
    seconds eventAt {0};
    std::vector<Fault> faults;
};

/// Holds the runs of one deployment by policy.
using Runs = std::vector<std::pair<std::string, RunStatistics>>;

FaultKind faultKind(const std::string &name)
{
    static const std::map<std::string, FaultKind> kinds {
        {"engineCrash", FaultKind::EngineCrash},
        {"instanceRestart", FaultKind::InstanceRestart},
        {"dataCentreCut", FaultKind::DataCentreCut},
        {"slowEngine", FaultKind::SlowEngine},
    };
    const auto it = kinds.find(name);
    if (it == kinds.end())
        throw Core::Error(Core::ErrorKind::SettingsInvalid, "unknown fault " + name);
    return it->second;
}

milliseconds millisecondsOr(const toml::value &table, const char *key, milliseconds fallback)
{
    return milliseconds(toml::find_or(table, key, static_cast<std::int64_t>(fallback.count())));
}

seconds secondsOr(const toml::value &table, const char *key, seconds fallback)
{
    return seconds(toml::find_or(table, key, static_cast<std::int64_t>(fallback.count())));
}

Fault parseFault(const toml::value &table, seconds eventAt)
{
    Fault fault;
    fault.kind = faultKind(toml::find<std::string>(table, "kind"));
    fault.at = eventAt + millisecondsOr(table, "afterMs", milliseconds(0));
    fault.duration = millisecondsOr(table, "durationMs", milliseconds(0));
    fault.count = static_cast<std::size_t>(toml::find_or(table, "count", std::int64_t {1}));
    fault.speed = toml::find_or(table, "speed", 1.0);
    return fault;
}

Scenario parseScenario(const toml::value &file)
{
    Scenario scenario;
    scenario.name = toml::find<std::string>(file, "name");
    scenario.deployments = toml::find<std::vector<std::string>>(file, "deployments");
    scenario.duration = secondsOr(file, "durationSeconds", scenario.duration);
    scenario.quickDuration = secondsOr(file, "quickDurationSeconds", scenario.quickDuration);
    scenario.warmUp = secondsOr(file, "warmUpSeconds", scenario.warmUp);
    scenario.eventAt = secondsOr(file, "eventAtSeconds", scenario.eventAt);
    scenario.loadFactor = toml::find_or(file, "loadFactor", scenario.loadFactor);
    scenario.cacheBlocks =
        static_cast<std::size_t>(toml::find_or(file, "cachePieces", std::int64_t {0}));
    scenario.hasShift = toml::find_or(file, "hotPrefixShift", false);
    scenario.includesAblations = toml::find_or(file, "ablation", false);
    scenario.checksSteadyTargets = toml::find_or(file, "judgeSteady", false);
    scenario.checksRecoveryTarget = toml::find_or(file, "judgeRecovery", false);
    if (file.contains("views")) {
        const auto &views = toml::find(file, "views");
        auto &parsed = scenario.views;
        parsed.loadReportInterval =
            millisecondsOr(views, "loadReportIntervalMs", parsed.loadReportInterval);
        parsed.loadReportLag = millisecondsOr(views, "loadReportLagMs", parsed.loadReportLag);
        parsed.exchangeInterval =
            millisecondsOr(views, "exchangeIntervalMs", parsed.exchangeInterval);
        parsed.cacheEventLag = millisecondsOr(views, "cacheEventLagMs", parsed.cacheEventLag);
        parsed.cacheEventLoss = toml::find_or(views, "cacheEventLoss", parsed.cacheEventLoss);
    }
    if (file.contains("faults")) {
        for (const auto &table : toml::find<toml::array>(file, "faults"))
            scenario.faults.push_back(parseFault(table, scenario.eventAt));
    }
    return scenario;
}

Deployment deploymentOf(const Scenario &scenario, const std::string &name,
                        const RunOptions &options)
{
    auto deployment = deploymentByName(name);
    deployment.views = scenario.views;
    deployment.work.duration = options.isQuick ? scenario.quickDuration : scenario.duration;
    deployment.work.requestsPerSecond *= scenario.loadFactor;
    for (auto &engine : deployment.engines) {
        if (scenario.cacheBlocks != 0)
            engine.cacheBlocks = scenario.cacheBlocks;
    }
    if (scenario.hasShift)
        deployment.work.shiftAt = scenario.eventAt;
    return deployment;
}

std::vector<std::string> policiesOf(const Scenario &scenario, const RunOptions &options)
{
    if (!options.policies.empty())
        return options.policies;
    const auto compared = comparedPolicies();
    std::vector<std::string> policies(compared.begin(), compared.end());
    if (scenario.includesAblations) {
        const auto ablated = ablationPolicies();
        policies.insert(policies.end(), ablated.begin(), ablated.end());
    }
    return policies;
}

const RunStatistics *findRun(const Runs &runs, std::string_view policy)
{
    const auto it = std::find_if(runs.begin(), runs.end(),
                                 [&](const auto &run) { return run.first == policy; });
    return it == runs.end() ? nullptr : &it->second;
}

/// Returns the oracle with the higher hit rate, so that the results are compared with the stricter
/// reference.
const RunStatistics *findOracle(const Runs &runs, EventQueue::Duration from,
                                EventQueue::Duration to)
{
    const auto *plain = findRun(runs, "oracle");
    const auto *home = findRun(runs, "oracle-home");
    if (plain == nullptr || home == nullptr)
        return plain != nullptr ? plain : home;
    return plain->hitRate(from, to) >= home->hitRate(from, to) ? plain : home;
}

std::string quantileText(const RunStatistics &run, double share, EventQueue::Duration from,
                         EventQueue::Duration to, bool isUrgentOnly)
{
    const auto value = run.firstTokenQuantile(share, from, to, isUrgentOnly);
    if (value >= std::chrono::hours(1))
        return "never";
    return fixed(value.count(), 3);
}

Table policyTable(const std::string &title, const Scenario &scenario, const Deployment &deployment,
                  const Runs &runs)
{
    Table table {title,
                 {"policy", "hit rate", "recomputed/prompt", "ttft p50 s", "ttft p99 s",
                  "urgent p99 s", "unanswered", "back to 90% s"},
                 {}};
    const EventQueue::Duration from = scenario.warmUp;
    const EventQueue::Duration to = deployment.work.duration;
    for (const auto &[policy, run] : runs) {
        const auto prompt = static_cast<double>(run.promptTokens(from, to));
        const auto recomputed = static_cast<double>(run.recomputedTokens(from, to));
        std::string recovery = "-";
        if (scenario.eventAt.count() > 0) {
            const auto level = SteadyShareAfterFault * run.hitRate(from, scenario.eventAt);
            const auto time = run.recoveryTime(scenario.eventAt, level, RecoveryWindow, to);
            recovery = fixed(time.count(), 1);
        }
        table.rows.push_back(
            {policy, fixed(run.hitRate(from, to), 4),
             fixed(prompt > 0 ? recomputed / prompt : 0, 4),
             quantileText(run, 0.5, from, to, false), quantileText(run, 0.99, from, to, false),
             quantileText(run, 0.99, from, to, true), std::to_string(run.unanswered()), recovery});
    }
    return table;
}

void appendSteadyTargets(ScenarioReport &report, const std::string &title, const Scenario &scenario,
                         const Deployment &deployment, const Runs &runs)
{
    const EventQueue::Duration from = scenario.warmUp;
    const EventQueue::Duration to = deployment.work.duration;
    const auto *evaluated = findRun(runs, EvaluatedPolicy);
    const auto *oracle = findOracle(runs, from, to);
    const auto *leastLoaded = findRun(runs, "least-loaded");
    if (evaluated == nullptr || oracle == nullptr || leastLoaded == nullptr)
        return;
    const auto rate = evaluated->hitRate(from, to);
    report.targets.push_back({"hit rate as a share of the oracle's", title,
                              rate / oracle->hitRate(from, to), MinShareOfOracle,
                              BoundKind::AtLeast});
    report.targets.push_back({"hit rate as a multiple of least-loaded's", title,
                              rate / leastLoaded->hitRate(from, to), MinGainOverLeastLoaded,
                              BoundKind::AtLeast});
    const auto excessTokens = static_cast<double>(evaluated->recomputedTokens(from, to))
                              - static_cast<double>(oracle->recomputedTokens(from, to));
    report.targets.push_back({"recomputed beyond the oracle's / prompt tokens", title,
                              excessTokens / static_cast<double>(evaluated->promptTokens(from, to)),
                              MaxRecomputedBeyondOracle, BoundKind::AtMost});
}

void appendRecoveryTarget(ScenarioReport &report, const std::string &title,
                          const Scenario &scenario, const Deployment &deployment, const Runs &runs)
{
    const auto *evaluated = findRun(runs, EvaluatedPolicy);
    if (evaluated == nullptr)
        return;
    const auto level =
        SteadyShareAfterFault * evaluated->hitRate(scenario.warmUp, scenario.eventAt);
    const auto time =
        evaluated->recoveryTime(scenario.eventAt, level, RecoveryWindow, deployment.work.duration);
    report.targets.push_back({"seconds until 90% of the steady hit rate", title, time.count(),
                              static_cast<double>(MaxRecoveryTime.count()), BoundKind::AtMost});
}

/// Draws one line per second: the hit rate of the LibPlacement policy as a bar, that of
/// least-loaded as a mark.
void appendChart(ScenarioReport &report, const std::string &title, const Scenario &scenario,
                 const Deployment &deployment, const Runs &runs)
{
    constexpr double Width = 50;
    const auto *evaluated = findRun(runs, EvaluatedPolicy);
    const auto *other = findRun(runs, "least-loaded");
    if (evaluated == nullptr || other == nullptr)
        return;
    report.charts.push_back(title + ": hit rate a second (bar: placement, o: least-loaded)");
    const auto last =
        std::min<EventQueue::Duration>(deployment.work.duration, scenario.eventAt + seconds(10));
    for (EventQueue::Duration time = scenario.eventAt - seconds(5); time < last;
         time += seconds(1)) {
        const auto rate = evaluated->hitRate(time, time + seconds(1));
        std::string bar(static_cast<std::size_t>(Width) + 1, ' ');
        std::fill_n(bar.begin(), static_cast<std::size_t>(rate * Width), '#');
        bar[static_cast<std::size_t>(other->hitRate(time, time + seconds(1)) * Width)] = 'o';
        const auto offset = std::chrono::duration<double>(time - scenario.eventAt).count();
        report.charts.push_back(fixed(offset, 0) + " s\t|" + bar + "| " + fixed(rate, 3));
    }
    report.charts.emplace_back();
}

} // namespace

ScenarioReport runPlacementScenario(const toml::value &file, const RunOptions &options)
{
    const auto scenario = parseScenario(file);
    ScenarioReport report;
    for (const auto &name : scenario.deployments) {
        const auto deployment = deploymentOf(scenario, name, options);
        const auto work = generateWorkload(deployment.work, options.seed);
        Runs runs;
        for (const auto &policy : policiesOf(scenario, options)) {
            PlacementRun run(deployment, scenario.faults, work, options.seed);
            runs.emplace_back(policy, run.run(policy, options.overrides));
        }
        const auto title = scenario.name + "/" + name;
        report.tables.push_back(policyTable(title, scenario, deployment, runs));
        if (scenario.checksSteadyTargets)
            appendSteadyTargets(report, title, scenario, deployment, runs);
        if (scenario.checksRecoveryTarget) {
            appendRecoveryTarget(report, title, scenario, deployment, runs);
            appendChart(report, title, scenario, deployment, runs);
        }
    }
    return report;
}

} // namespace Bench
