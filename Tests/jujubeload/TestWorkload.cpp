#include <catch2/catch.hpp>
#include <jujubeload/Workload.h>

#include <set>

namespace {

std::set<std::string> startsOf(const Load::Workload &workload, std::size_t bytes)
{
    std::set<std::string> starts;
    for (std::uint64_t index = 0; index < 2'000; ++index)
        starts.insert(workload.promptAt(index).substr(0, bytes));
    return starts;
}

} // namespace

TEST_CASE("Prompts share nested prefixes, recur, and depend on the seed alone")
{
    Load::WorkloadSettings settings;
    settings.promptBytes = 400;
    settings.sharedPrefixBytes = 200;
    settings.prefixes = 8;
    const Load::Workload workload(settings);
    CHECK(startsOf(workload, 100).size() == 2);
    CHECK(startsOf(workload, 200).size() == 8);
    const auto whole = startsOf(workload, 400);
    CHECK(whole.size() > 8);
    CHECK(whole.size() <= 8 * Load::Workload::PromptsPerPrefix);
    CHECK(whole.begin()->size() == 400);

    const Load::Workload again(settings);
    CHECK(again.promptAt(7) == workload.promptAt(7));
    settings.seed = 2;
    CHECK(Load::Workload(settings).promptAt(7) != workload.promptAt(7));
}
