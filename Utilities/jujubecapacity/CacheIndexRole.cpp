#include "Measure.h"
#include "Roles.h"

#include <LibCore/ManualClock.h>
#include <LibPlacement/Placement.h>
#include <LibPlacement/PromptBlocks.h>

#include <array>
#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr std::size_t Decisions = 20'000;
constexpr std::size_t PrefixFamilies = 20'000;

/// Returns four nested blocks; the outer ones are shared by more prompts.
Placement::PromptBlocks nestedPrompt(std::uint64_t number)
{
    const std::array<Placement::BlockHash, 4> hashes {number % 50 + 1, number % 500 + 1'000,
                                                      number % 5'000 + 10'000, number + 100'000};
    return Placement::PromptBlocks::fromHashes(hashes, 300);
}

std::vector<std::string> measurePlacement(std::size_t upstreams, std::size_t indexCapacity)
{
    Core::ManualClock clock;
    std::mt19937_64 rng(Seed);
    Placement::PlacementSettings settings;
    settings.prefixIndexCapacity = indexCapacity;
    const auto heapBefore = heapBytes();
    const auto placement = std::make_unique<Placement::Placement>(clock, settings);
    std::vector<Placement::UpstreamSlot> slots;
    for (std::size_t n = 0; n < upstreams; ++n)
        slots.push_back(
            placement->noteUpstream({Core::UpstreamId("worker-" + std::to_string(n)), 1}));
    const auto candidates = placement->makeCandidateSet(slots);
    const auto before = processorTime();
    for (std::size_t n = 0; n < Decisions; ++n) {
        const auto blocks = nestedPrompt(rng() % PrefixFamilies);
        auto decision = placement->choose({blocks, {}, {}}, candidates, rng);
        placement->noteSent(*decision, blocks);
        placement->noteFirstToken(*decision, blocks, decision->expectedCachedTokens);
        placement->noteAnswer(*decision);
        clock.advance(1ms);
    }
    const auto seconds = (processorTime() - before).count();
    return {std::to_string(upstreams), std::to_string(indexCapacity),
            formatNumber((heapBytes() - heapBefore) / 1024 / 1024),
            formatNumber(seconds / static_cast<double>(Decisions) * 1e6)};
}

} // namespace

std::vector<Table> measureCacheIndex(Extent extent)
{
    Table table {"Cache index",
                 {"upstreams", "pieces it has room for", "heap MiB",
                  "processor us a request, decision and notes"},
                 {}};
    table.rows.push_back(measurePlacement(150, 65'536));
    table.rows.push_back(measurePlacement(1'500, 65'536));
    if (extent == Extent::Full)
        table.rows.push_back(measurePlacement(1'500, 262'144));
    return {table};
}
