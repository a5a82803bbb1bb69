#include "FakeEngine.h"
#include "Workload.h"

#include <catch2/catch.hpp>

using namespace Bench;

TEST_CASE("events run in order of their time, then of scheduling")
{
    Core::ManualClock clock;
    EventQueue queue(clock);
    std::string seen;
    queue.schedule(std::chrono::seconds(2), [&] { seen += 'c'; });
    queue.schedule(std::chrono::seconds(1), [&] { seen += 'a'; });
    queue.schedule(std::chrono::seconds(1), [&] { seen += 'b'; });
    queue.runAll();
    CHECK(seen == "abc");
}

TEST_CASE("a cache evicts the leaf of the least recently used chain first")
{
    PrefixCache cache(3);
    const std::array<std::uint64_t, 2> first {1, 2};
    const std::array<std::uint64_t, 2> second {3, 4};
    cache.store(first);
    cache.store(second);
    CHECK(cache.match(first) == 1);
    CHECK(cache.match(second) == 2);
}

TEST_CASE("a fake engine serves urgent requests first and a crash clears its cache")
{
    Core::ManualClock clock;
    EventQueue queue(clock);
    std::vector<std::uint64_t> order;
    std::vector<std::uint64_t> failed;
    EngineHooks hooks;
    hooks.firstToken = [&](auto id, auto) { order.push_back(id); };
    hooks.failed = [&](auto id) { failed.push_back(id); };
    FakeEngine engine(queue, {}, hooks);
    engine.submit({1, {7}, 10, 5, 1});
    engine.submit({2, {7}, 10, 5, 1});
    engine.submit({3, {8}, 10, 5, 0});
    queue.runAll();
    CHECK(order == std::vector<std::uint64_t> {1, 3, 2});
    engine.submit({4, {9}, 10, 5, 0});
    engine.crash(std::chrono::seconds(1));
    CHECK(failed == std::vector<std::uint64_t> {4});
    CHECK_FALSE(engine.submit({5, {}, 1, 1, 0}));
    const std::array<std::uint64_t, 1> chain {7};
    CHECK(engine.cache().match(chain) == 0);
}

TEST_CASE("the same seed generates the same workload")
{
    WorkloadSettings settings;
    settings.teams = {{"a", 1}, {"b", 3}};
    settings.levels = {{1, 2}, {5, 1, 1.0}};
    const auto first = generateWorkload(settings, 4);
    const auto second = generateWorkload(settings, 4);
    REQUIRE(first.size() == second.size());
    REQUIRE(first.size() > 300);
    for (std::size_t i = 0; i < first.size(); ++i) {
        REQUIRE(first[i].blocks == second[i].blocks);
        REQUIRE(first[i].arrival == second[i].arrival);
    }
    CHECK(generateWorkload(settings, 5)[0].arrival != first[0].arrival);
}
