#include <LibAdmission/FairShare.h>

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace Admission;

TEST_CASE("weighted max-min shares exceed neither demand nor capacity")
{
    std::mt19937_64 rng(7);
    std::uniform_real_distribution<double> amount(0, 50);
    for (int round = 0; round < 200; ++round) {
        std::vector<Claimant> claimants(1 + rng() % 9);
        for (auto &it : claimants)
            it = {amount(rng), amount(rng) / 10};
        const double capacity = amount(rng);
        const auto shares = weightedMaxMin(capacity, claimants);
        CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) <= capacity + 1e-6);
        for (std::size_t n = 0; n < shares.size(); ++n)
            CHECK(shares[n] <= claimants[n].demand + 1e-9);
    }
}

TEST_CASE("targets follow the demand of entitled teams, not the largest demand")
{
    const Core::PriorityClassId urgent("urgent");
    const Core::TeamId small("small");
    const Core::TeamId large("large");
    const GroupPolicy policy {
        .id = Core::UpstreamGroupId("g"),
        .classes = {{.id = urgent}},
        .teams = {{.id = small, .ownedShare = 0.5}, {.id = large, .ownedShare = 0.5}},
        .slots = 40};
    // The small team's demand is at the first instance, the large team's at the second.
    const std::vector<std::vector<TeamDemand>> demands {{{small, urgent, 20}},
                                                        {{large, urgent, 1000}}};
    const auto targets = fairTargets(policy, demands);
    CHECK(targets.slots[0] == Approx(20));
    CHECK(targets.slots[1] == Approx(20));
}

TEST_CASE("excess demand does not move slots to the instance with the larger part of it")
{
    const Core::PriorityClassId urgent("urgent");
    const Core::TeamId large("large");
    const GroupPolicy policy {.id = Core::UpstreamGroupId("g"),
                              .classes = {{.id = urgent}},
                              .teams = {{.id = large, .ownedShare = 1}},
                              .slots = 40};
    const std::vector<std::vector<TeamDemand>> demands {{{large, urgent, 60}},
                                                        {{large, urgent, 30}}};
    const auto targets = fairTargets(policy, demands);
    CHECK(targets.slots[0] == Approx(20));
    CHECK(targets.slots[1] == Approx(20));
}
