#include "AllocationCount.h"

#include <LibCore/Clock.h>
#include <LibPlacement/Placement.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string_view>

namespace {

using namespace Placement;

/// Number of texts at each of the four nesting levels, and number of blocks of each text.
constexpr std::size_t LevelTexts = 8;
constexpr std::size_t LevelBlocks = 2;
constexpr std::size_t Levels = 4;
/// Numbers of workers of the two fleets whose decision times are compared.
constexpr std::size_t SmallFleet = 150;
constexpr std::size_t LargeFleet = 1500;

/// Sets up a fleet with a warm prefix-cache index, and prompts of four nested levels.
class Fleet
{
public:
    explicit Fleet(std::size_t workers)
        : m_placement(m_clock, {})
    {
        for (std::size_t i = 0; i < workers; ++i)
            m_slots.push_back(
                m_placement.noteUpstream({Core::UpstreamId("worker-" + std::to_string(i)), 1}));
        m_set.emplace(m_placement.makeCandidateSet(m_slots));
        constexpr std::size_t Prompts = 4096;
        for (std::size_t i = 0; i < Prompts; ++i)
            m_prompts.push_back(makePrompt());
        for (std::size_t i = 0; i < Prompts; ++i)
            serve();
    }

    /// Makes one decision.
    std::optional<Decision> decide()
    {
        m_next = (m_next + 1) % m_prompts.size();
        return m_placement.choose({m_prompts[m_next], {}, {}}, *m_set, m_rng);
    }
    /// Makes one decision and records the observations of its request.
    void serve()
    {
        auto decision = decide();
        m_placement.noteSent(*decision, m_prompts[m_next]);
        m_placement.noteFirstToken(*decision, m_prompts[m_next], decision->expectedCachedTokens);
        m_placement.noteAnswer(*decision);
    }

private:
    PromptBlocks makePrompt()
    {
        std::array<BlockHash, Levels * LevelBlocks> hashes {};
        BlockHash parent = 1;
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const auto text = i % LevelBlocks == 0 ? m_rng() % LevelTexts : 0;
            parent = parent * 0x9e3779b97f4a7c15ULL + text + 1;
            hashes[i] = parent;
        }
        return PromptBlocks::fromHashes(hashes, 300);
    }

    Core::SystemClock m_clock;
    ::Placement::Placement m_placement;
    std::vector<UpstreamSlot> m_slots;
    std::optional<CandidateSet> m_set;
    std::vector<PromptBlocks> m_prompts;
    std::size_t m_next = 0;
    std::mt19937_64 m_rng {1};
};

void decide(benchmark::State &state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(fleet.decide());
}

void decideAndNote(benchmark::State &state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        fleet.serve();
}

/// Counts the heap allocations of many decisions with their recorded observations, after a warm-up
/// round.
std::size_t countAllocations()
{
    constexpr int Decisions = 10000;
    Fleet fleet(LargeFleet);
    const auto before = allocationCount();
    for (int i = 0; i < Decisions; ++i)
        fleet.serve();
    return allocationCount() - before;
}

/// Prints the row of the allocation target. Returns whether the target is met.
bool reportAllocations()
{
    const auto allocations = countAllocations();
    std::cout << "| decision | heap allocations in 10000 decisions over 1500 workers | "
              << allocations << " | <= 0 | " << (allocations == 0 ? "yes" : "NO") << " |\n";
    return allocations == 0;
}

/// Returns the minimum CPU time of one decision over several rounds, which limits the influence of
/// other work on the machine.
std::chrono::nanoseconds decisionTime(std::size_t workers)
{
    constexpr int Rounds = 10;
    constexpr int Decisions = 4000;
    Fleet fleet(workers);
    auto minTime = std::chrono::nanoseconds::max();
    for (int round = 0; round < Rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < Decisions; ++i)
            benchmark::DoNotOptimize(fleet.decide());
        const std::chrono::nanoseconds taken = std::chrono::steady_clock::now() - start;
        minTime = std::min(minTime, taken / Decisions);
    }
    return minTime;
}

/// Prints the row of the time target and the growth ratio. Returns whether the time target is met.
bool reportTime()
{
    constexpr std::chrono::nanoseconds Bound {20000};
    const auto small = decisionTime(SmallFleet);
    const auto large = decisionTime(LargeFleet);
    std::cout << "| decision | nanoseconds over 1500 workers | " << large.count()
              << " | <= " << Bound.count() << " | " << (large <= Bound ? "yes" : "NO") << " |\n"
              << "| decision | growth from 150 to 1500 workers | "
              << static_cast<double>(large.count()) / static_cast<double>(small.count())
              << " | reported | - |\n";
    return large <= Bound;
}

BENCHMARK(decide)->Arg(SmallFleet)->Arg(LargeFleet);
BENCHMARK(decideAndNote)->Arg(SmallFleet)->Arg(LargeFleet);

} // namespace

int main(int argc, char **argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "--allocations")
        return reportAllocations() ? 0 : 1;
    if (argc == 2 && std::string_view(argv[1]) == "--targets") {
        const bool hasNoAllocations = reportAllocations();
        return reportTime() && hasNoAllocations ? 0 : 1;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
