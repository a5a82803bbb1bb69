#include "ScenarioFamily.h"

#include <LibCore/Error.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace {

/// Runs one scenario file with the family that the file selects.
Bench::ScenarioReport runFile(const std::string &path, const Bench::RunOptions &options)
{
    const auto scenario = toml::parse(path);
    const auto name = toml::find<std::string>(scenario, "family");
    const auto families = Bench::scenarioFamilies();
    const auto it = std::find_if(families.begin(), families.end(),
                                 [&](const auto &family) { return family.name == name; });
    if (it == families.end())
        throw Core::Error(Core::ErrorKind::SettingsInvalid, path + ": unknown family " + name);
    return it->run(scenario, options);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {
        "Measures routing decisions under a seeded load on fake engines, in virtual time"};
    std::vector<std::string> files;
    Bench::RunOptions options;
    bool isJson = false;
    app.add_option("scenario", files, "Scenario files (TOML)")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--seed", options.seed, "Seed of the load and of every random choice");
    app.add_option("--policy", options.policies, "Run only these policies")
        ->allow_extra_args(false);
    app.add_option("--set", options.overrides, "Override a placement setting: name=value")
        ->allow_extra_args(false);
    app.add_flag("--json", isJson, "Print JSON instead of tables");
    app.add_flag("--quick", options.isQuick, "Shorter runs of the same scenarios");
    CLI11_PARSE(app, argc, argv);
    try {
        std::vector<Bench::ScenarioReport> reports;
        reports.reserve(files.size());
        for (const auto &file : files)
            reports.push_back(runFile(file, options));
        std::cout << (isJson ? Bench::formatJson(reports) : Bench::formatText(reports)) << '\n';
        const bool areAllMet = std::all_of(reports.begin(), reports.end(), [](const auto &report) {
            return std::all_of(report.targets.begin(), report.targets.end(),
                               [](const auto &row) { return row.isMet(); });
        });
        return areAllMet ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "jujubebench: " << error.what() << '\n';
        return 2;
    }
}
