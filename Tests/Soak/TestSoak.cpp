#include "SoakRun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace {

unsigned long numberOr(const char *name, unsigned long defaultValue)
{
    const auto *text = std::getenv(name);
    return text ? std::stoul(text) : defaultValue;
}

} // namespace

TEST_CASE("gateway processes keep the rules through troubles at any moment")
{
    const auto first = numberOr("SOAK_FIRST_SEED", 1);
    const auto last = numberOr("SOAK_LAST_SEED", 3);
    const auto *root = std::getenv("SOAK_FOLDER");
    const auto folder =
        root ? std::filesystem::path(root) : std::filesystem::temp_directory_path() / "jujube-soak";
    for (auto seed = first; seed <= last; ++seed) {
        Soak::SoakOptions options;
        options.seed = seed;
        options.length = std::chrono::seconds(numberOr("SOAK_SECONDS", 25));
        options.instances = static_cast<unsigned>(numberOr("SOAK_INSTANCES", 6));
        options.upstreams = static_cast<unsigned>(numberOr("SOAK_UPSTREAMS", 8));
        options.clients = static_cast<unsigned>(numberOr("SOAK_CLIENTS", 40));
        options.folder = folder / ("seed-" + std::to_string(seed));
        std::filesystem::remove_all(options.folder);
        const auto result = Soak::SoakRun(options).run();
        std::cout << "seed " << seed << ": " << result.summary() << std::endl;
        INFO("seed " << seed << ": " << result.summary() << "; see " << options.folder);
        CHECK(result.breaks.empty());
        CHECK(result.served > 0);
        if (result.breaks.empty() && !root)
            std::filesystem::remove_all(options.folder);
    }
}
