#include <LibAccounting/Settlement.h>

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace Accounting;

TEST_CASE("settlements account for capacity and use exactly")
{
    std::mt19937_64 rng(11);
    for (int round = 0; round < 2000; ++round) {
        const SlotMicroseconds capacity = rng() % 1'000'000'007;
        std::vector<OwnedShare> shares;
        std::vector<TeamUse> uses;
        std::uint64_t free = FullShare;
        for (std::uint64_t n = 0; n < 1 + rng() % 8; ++n) {
            const Core::TeamId team("t" + std::to_string(n));
            const auto part = rng() % (free + 1);
            free -= part;
            shares.push_back({team, part});
            if (rng() % 3 != 0)
                uses.push_back({team, rng() % 400'000'000, {}});
        }
        const auto settlement = settle(capacity, shares, uses);
        SlotMicroseconds served = 0;
        for (const auto &row : settlement.served)
            served += row.slots;
        SlotMicroseconds idle = 0;
        for (const auto &row : settlement.idle)
            idle += row.slots;
        SlotMicroseconds used = 0;
        for (const auto &use : uses)
            used += use.slots;
        CHECK(served + idle == capacity);
        CHECK(served + settlement.overrun == used);
    }
}

TEST_CASE("own capacity serves its owner first and only the rest is lent")
{
    const Core::TeamId a("a");
    const Core::TeamId b("b");
    const std::vector<OwnedShare> shares {{a, 500'000}, {b, 500'000}};
    const auto settlement = settle(100, shares, std::vector<TeamUse> {{a, 20, {}}, {b, 70, {}}});
    REQUIRE(settlement.served.size() == 3);
    CHECK(settlement.served[0].slots == 20);
    CHECK(settlement.served[1].slots == 50);
    CHECK(settlement.served[2].owner == a);
    CHECK(settlement.served[2].user == b);
    CHECK(settlement.served[2].slots == 20);
    REQUIRE(settlement.idle.size() == 1);
    CHECK(settlement.idle[0].owner == a);
    CHECK(settlement.idle[0].slots == 10);
}
