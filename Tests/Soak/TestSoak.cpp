#include "SoakRun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <vector>

namespace {

unsigned long numberOr(const char *name, unsigned long defaultValue)
{
    const auto *text = std::getenv(name);
    return text ? std::stoul(text) : defaultValue;
}

/// Returns the seeds that the environment names, or one of each theme.
std::vector<std::uint64_t> seeds()
{
    const auto first = numberOr("SOAK_FIRST_SEED", 0);
    if (first == 0)
        return {8, 9, 10, 11, 20, 21, 14, 15};
    std::vector<std::uint64_t> result;
    for (auto seed = first; seed <= numberOr("SOAK_LAST_SEED", first); ++seed)
        result.push_back(seed);
    return result;
}

std::filesystem::path rootFolder()
{
    const auto *root = std::getenv("SOAK_FOLDER");
    return root ? std::filesystem::path(root)
                : std::filesystem::temp_directory_path() / "jujube-soak";
}

Soak::SoakOptions optionsOf(std::uint64_t seed, unsigned long seconds)
{
    Soak::SoakOptions options;
    options.seed = seed;
    options.length = std::chrono::seconds(numberOr("SOAK_SECONDS", seconds));
    options.instances = static_cast<unsigned>(numberOr("SOAK_INSTANCES", 6));
    options.upstreams = static_cast<unsigned>(numberOr("SOAK_UPSTREAMS", 8));
    options.clients = static_cast<unsigned>(numberOr("SOAK_CLIENTS", 40));
    options.zones = static_cast<unsigned>(numberOr("SOAK_ZONES", 2));
    options.hasLimits = numberOr("SOAK_LIMITS", 0) > 0;
    if (const auto *gateway = std::getenv("SOAK_GATEWAY"))
        options.gateway = gateway;
    return options;
}

void play(Soak::SoakOptions options)
{
    const auto *limits = options.hasLimits ? "-limits" : "";
    options.folder = rootFolder() / ("seed-" + std::to_string(options.seed) + limits);
    std::filesystem::remove_all(options.folder);
    const auto result = Soak::SoakRun(options).run();
    std::cout << "seed " << options.seed << ": " << result.summary() << std::endl;
    INFO("seed " << options.seed << ": " << result.summary() << "; see " << options.folder);
    CHECK(result.breaks.empty());
    CHECK(result.served > 0);
    if (result.breaks.empty() && std::getenv("SOAK_FOLDER") == nullptr)
        std::filesystem::remove_all(options.folder);
}

} // namespace

TEST_CASE("gateway processes keep the rules through troubles at any moment")
{
    for (const auto seed : seeds())
        play(optionsOf(seed, 13));
}

TEST_CASE("limits that upstreams name hold through restarts, kills and freezes of instances")
{
    auto options = optionsOf(907, 20);
    options.hasLimits = true;
    play(options);
}

TEST_CASE("a removed upstream stays in use while one read of the list gets no answer")
{
    using namespace std::chrono_literals;
    Soak::SoakOptions options;
    options.length = 12s;
    options.instances = GENERATE(1u, 2u);
    if (const auto *gateway = std::getenv("SOAK_GATEWAY"))
        options.gateway = gateway;
    constexpr auto Form =
        Soak::LastReader
        + Soak::CallerForms * static_cast<unsigned>(StandIns::CallFailure::NoAnswer);
    options.steps = {{4s, Soak::Trouble::StoreFailsOnce, 0, 0ms, Form},
                     {4'900ms, Soak::Trouble::Remove, 0, 6s},
                     {4'900ms, Soak::Trouble::Remove, 1, 6s}};
    options.folder =
        rootFolder() / ("unanswered-read-" + std::to_string(options.instances) + "-instances");
    std::filesystem::remove_all(options.folder);
    const auto result = Soak::SoakRun(options).run();
    INFO(result.summary() << "; see " << options.folder);
    CHECK(result.breaks.empty());
    CHECK(result.served > 0);
}
