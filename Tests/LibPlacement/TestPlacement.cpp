#include <LibCore/ManualClock.h>
#include <LibPlacement/Placement.h>

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace Placement;

namespace {

struct Fixture
{
    explicit Fixture(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            slots.push_back(placement.noteUpstream({Core::UpstreamId("u" + std::to_string(i)), 1}));
        set.emplace(placement.makeCandidateSet(slots));
    }
    std::optional<Decision> choose(const PlacementRequest &request)
    {
        return placement.choose(request, *set, rng);
    }

    Core::ManualClock clock;
    ::Placement::Placement placement {clock, {}};
    std::vector<UpstreamSlot> slots;
    std::optional<CandidateSet> set;
    std::mt19937_64 rng {1};
    const std::array<BlockHash, 4> hashes {11, 22, 33, 44};
    const PromptBlocks blocks = PromptBlocks::fromHashes(hashes, 100);
};

} // namespace

TEST_CASE("a prompt is sent to the upstream that prefilled its prefix")
{
    Fixture fixture(12);
    auto first = fixture.choose({fixture.blocks, {}, {}});
    REQUIRE(first);
    fixture.placement.noteSent(*first, fixture.blocks);
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.placement.noteFirstToken(*first, fixture.blocks, 0);
    const auto again = fixture.choose({fixture.blocks, {}, {}});
    REQUIRE(again);
    CHECK(again->slot == first->slot);
    CHECK(again->expectedCachedTokens > 3 * BlockTokens);
}

TEST_CASE("an idle upstream is preferred to an overloaded holder of the prefix")
{
    Fixture fixture(3);
    auto first = fixture.choose({fixture.blocks, {}, {}});
    fixture.placement.noteSent(*first, fixture.blocks);
    fixture.placement.noteFirstToken(*first, fixture.blocks, 0);
    fixture.clock.advance(std::chrono::milliseconds(10));
    fixture.placement.noteLoadReport(first->slot, {1, fixture.clock.now(), 30, 20, 400000});
    CHECK(fixture.choose({fixture.blocks, {}, {}})->slot != first->slot);
}

TEST_CASE("excluded and removed upstreams are not chosen")
{
    Fixture fixture(3);
    const std::array tried {fixture.slots[0]};
    fixture.placement.noteRemoved(fixture.slots[1]);
    for (int i = 0; i < 20; ++i)
        REQUIRE(fixture.choose({fixture.blocks, {}, tried})->slot == fixture.slots[2]);
    fixture.placement.noteRemoved(fixture.slots[2]);
    CHECK_FALSE(fixture.choose({fixture.blocks, {}, tried}));
}

TEST_CASE("the caller's preference decides between equal candidates")
{
    Fixture fixture(3);
    const std::array<Seconds, 3> preference {Seconds(5), Seconds(0), Seconds(5)};
    for (int i = 0; i < 20; ++i)
        REQUIRE(fixture.choose({fixture.blocks, preference, {}})->slot == fixture.slots[1]);
}

TEST_CASE("instances with the same stale report do not all pick the same upstream")
{
    Fixture fixture(8);
    const auto unseen = PromptBlocks::fromHashes({}, 300);
    std::map<UpstreamSlot, int> picks;
    for (int i = 0; i < 800; ++i)
        ++picks[fixture.choose({unseen, {}, {}})->slot];
    CHECK(picks.size() == 8);
    for (const auto &[slot, count] : picks)
        CHECK(count < 200);
}

TEST_CASE("an upstream that stops answering is avoided before a load report shows it")
{
    Fixture fixture(4);
    auto first = fixture.choose({fixture.blocks, {}, {}});
    fixture.placement.noteSent(*first, fixture.blocks);
    fixture.clock.advance(std::chrono::seconds(20));
    CHECK(fixture.choose({fixture.blocks, {}, {}})->slot != first->slot);
}

TEST_CASE("an explanation names every candidate and its terms add up")
{
    Fixture fixture(5);
    Explanation explanation;
    const auto decision =
        fixture.placement.choose({fixture.blocks, {}, {}}, *fixture.set, fixture.rng, &explanation);
    REQUIRE(explanation.rows.size() == 5);
    CHECK(explanation.rows[0].terms.slot == decision->slot);
    for (const auto &row : explanation.rows) {
        const auto &terms = row.terms;
        const auto sum =
            (terms.queueWait + terms.prefill * PlacementSettings().missWeight) * terms.slowness
            + terms.stall + terms.preference;
        CHECK(sum.count() == Approx(terms.total.count()));
    }
}

TEST_CASE("a sibling that imports the frequent prefixes makes the same choice")
{
    Fixture warmFixture(12);
    auto first = warmFixture.choose({warmFixture.blocks, {}, {}});
    warmFixture.placement.noteSent(*first, warmFixture.blocks);
    warmFixture.placement.noteFirstToken(*first, warmFixture.blocks, 0);
    const auto frequent = warmFixture.placement.exportFrequentPrefixes(3);
    REQUIRE(frequent.size() == 3);
    Fixture coldFixture(12);
    coldFixture.placement.importFrequentPrefixes(warmFixture.placement.exportFrequentPrefixes(100));
    const auto decision = coldFixture.choose({coldFixture.blocks, {}, {}});
    CHECK(decision->slot == first->slot);
    CHECK(decision->expectedCachedTokens > 3 * BlockTokens);
}

TEST_CASE("decisions and recorded results may be concurrent")
{
    Fixture fixture(100);
    const auto work = [&](std::uint64_t seed) {
        std::mt19937_64 rng(seed);
        for (int i = 0; i < 2000; ++i) {
            const std::array<BlockHash, 2> hashes {1 + rng() % 50, 1000 + rng() % 500};
            const auto blocks = PromptBlocks::fromHashes(hashes, 10);
            auto decision = fixture.placement.choose({blocks, {}, {}}, *fixture.set, rng);
            fixture.placement.noteSent(*decision, blocks);
            fixture.placement.noteFirstToken(*decision, blocks, BlockTokens);
            fixture.placement.noteAnswer(*decision);
            if (i % 100 == 0)
                fixture.placement.noteIncarnation(decision->slot, 2 + rng() % 20);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        threads.emplace_back(work, seed);
    for (auto &thread : threads)
        thread.join();
    CHECK(fixture.choose({fixture.blocks, {}, {}}));
}
