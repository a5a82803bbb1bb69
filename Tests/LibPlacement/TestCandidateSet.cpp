#include <LibPlacement/CandidateSet.h>

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace Placement;

namespace {

/// Adds upstreams with the given names to the table, in this order, and returns the set of all of
/// them. The upstream "big" has weight 3, the others have weight 1.
CandidateSet makeSet(UpstreamTable &table, const std::vector<std::string> &names)
{
    std::vector<UpstreamSlot> slots;
    slots.reserve(names.size());
    for (const auto &name : names)
        slots.push_back(table.add({Core::UpstreamId(name), 1, name == "big" ? 3.0 : 1.0}));
    return CandidateSet::create(table, slots);
}

std::string preferredUpstreamOf(const CandidateSet &set, const UpstreamTable &table,
                                std::uint64_t key)
{
    std::array<std::uint16_t, MaxPreferredUpstreams> preferredUpstreams {};
    set.preferredUpstreams(key, 1, preferredUpstreams);
    return table.id(set.slots()[preferredUpstreams[0]]).value();
}

} // namespace

TEST_CASE("instances that numbered the upstreams differently agree on preferred upstreams")
{
    UpstreamTable first;
    UpstreamTable second;
    const auto firstSet = makeSet(first, {"a", "b", "c", "d"});
    const auto secondSet = makeSet(second, {"d", "b", "a", "c"});
    std::mt19937_64 rng(5);
    for (int i = 0; i < 1000; ++i) {
        const auto key = rng();
        REQUIRE(preferredUpstreamOf(firstSet, first, key)
                == preferredUpstreamOf(secondSet, second, key));
    }
}

TEST_CASE("removing an upstream reassigns only its own prefixes")
{
    UpstreamTable first;
    UpstreamTable second;
    const auto before = makeSet(first, {"a", "b", "c", "d"});
    const auto after = makeSet(second, {"a", "b", "d"});
    std::mt19937_64 rng(6);
    for (int i = 0; i < 1000; ++i) {
        const auto key = rng();
        const auto preferred = preferredUpstreamOf(before, first, key);
        if (preferred != "c")
            REQUIRE(preferredUpstreamOf(after, second, key) == preferred);
    }
}

TEST_CASE("preferred upstreams are distributed by weight")
{
    UpstreamTable table;
    const auto set = makeSet(table, {"big", "b", "c", "d"});
    std::mt19937_64 rng(7);
    int big = 0;
    constexpr int Draws = 6000;
    for (int i = 0; i < Draws; ++i)
        big += preferredUpstreamOf(set, table, rng()) == "big" ? 1 : 0;
    // The upstream "big" has 3 of the total weight of 6.
    CHECK(big > Draws * 45 / 100);
    CHECK(big < Draws * 55 / 100);
}

TEST_CASE("the selection of preferred upstreams matches a full ranking")
{
    UpstreamTable table;
    std::vector<std::string> names {"big"};
    for (int i = 0; i < 300; ++i)
        names.push_back("u" + std::to_string(i));
    const auto set = makeSet(table, names);
    std::mt19937_64 rng(8);
    for (int i = 0; i < 300; ++i) {
        const auto key = rng();
        std::array<std::uint16_t, MaxPreferredUpstreams> preferredUpstreams {};
        REQUIRE(set.preferredUpstreams(key, MaxPreferredUpstreams, preferredUpstreams)
                == MaxPreferredUpstreams);
        std::vector<std::uint16_t> all(set.size());
        std::iota(all.begin(), all.end(), std::uint16_t {0});
        set.narrow(key, MaxPreferredUpstreams, all);
        REQUIRE(std::equal(preferredUpstreams.begin(), preferredUpstreams.end(), all.begin()));
    }
}
