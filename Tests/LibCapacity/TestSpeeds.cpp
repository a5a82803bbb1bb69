#include <LibCapacity/SpeedTable.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>

using namespace Capacity;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 68;
// More than the estimate starts with.
constexpr double OverheadMs = 40;
constexpr auto ReportInterval = 300ms;
constexpr auto RefreshInterval = 250ms;

/// Engines that prefill prompts of two lengths, the instances that keep their queues, and reports
/// between instances that arrive late, twice or not at all.
class Simulation
{
public:
    struct Engine
    {
        double speed = 1;
        /// The share of long prompts.
        double longShare = 0.6;
        std::size_t keeper = 0;
        double tokens = 0;
        double tokensLeft = 0;
        double overheadLeft = 0;
        double idleLeft = 0;
        Monotonic begin;
        Monotonic slowUntil;
    };
    struct Message
    {
        Monotonic time;
        std::size_t from = 0;
        unsigned number = 0;
        std::vector<SpeedTable::Report> reports;
    };

    Simulation(std::size_t instances, std::size_t count, unsigned seed)
        : engines(count)
        , tables(instances)
        , random(seed)
    {
        for (std::size_t n = 0; n < count; ++n)
            engines[n].keeper = (n + n / 3) % instances;
    }

    double uniform() { return static_cast<double>(random() >> 11U) * 0x1p-53; }

    void run(std::chrono::milliseconds time, const std::function<void()> &onTick = {})
    {
        for (const auto end = now + time; now < end; now += 1ms) {
            for (std::size_t n = 0; n < engines.size(); ++n)
                advance(n);
            if ((now - Monotonic()) % ReportInterval == 0ms)
                sendReports();
            deliver();
            if ((now - Monotonic()) % RefreshInterval == 0ms) {
                for (std::size_t n = 0; n < tables.size(); ++n)
                    tables[n].refresh(now);
            }
            if (onTick)
                onTick();
        }
    }

    void advance(std::size_t number)
    {
        auto &engine = engines[number];
        if (noiseShare > 0 && engine.slowUntil <= now) {
            // Phases of 600 ms that make up the given share of the time.
            const double chance = noiseShare / (1 - noiseShare) / 600;
            if (uniform() < chance)
                engine.slowUntil = now + 600ms;
        }
        if (engine.idleLeft > 0) {
            engine.idleLeft -= 1;
            engine.begin = now;
            return;
        }
        if (engine.overheadLeft > 0) {
            engine.overheadLeft -= 1;
            return;
        }
        engine.tokensLeft -= Rate * engine.speed / (engine.slowUntil > now ? 2.5 : 1);
        if (engine.tokensLeft > 0)
            return;
        if (engine.tokens > 0)
            finish(number);
        const double length = uniform();
        const double spread = 0.5 + uniform();
        const double idle = uniform();
        engine.tokens = spread * (length < engine.longShare ? 6'600 : 1'800);
        engine.tokensLeft = engine.tokens;
        engine.overheadLeft = OverheadMs;
        engine.idleLeft = idle < 0.5 ? 100 * idle : 0;
        engine.begin = now;
    }

    void finish(std::size_t number)
    {
        const auto &engine = engines[number];
        const std::uint64_t sender = random() % std::max<std::size_t>(3, tables.size());
        const double jitter = 5 * uniform();
        const double factor = engine.keeper == slowKeeper ? 1.5 : 1;
        const Milliseconds time =
            factor * (Milliseconds(now - engine.begin) + Milliseconds(jitter));
        tables[engine.keeper].addSample(
            {number, sender, static_cast<std::uint64_t>(engine.tokens), time}, now);
    }

    /// Only the first instances receive reports, so that the cost does not grow with the square of
    /// the number of instances.
    void sendReports()
    {
        ++reportNumber;
        for (std::size_t from = 0; from < tables.size(); ++from) {
            if (from == killed)
                continue;
            Message message {now, from, reportNumber, tables[from].reports(Origin::Own, now)};
            for (std::size_t to = 0; to < receivers(); ++to) {
                for (int copy = 0; copy < 2; ++copy) {
                    const double fate = uniform();
                    const double delay = 100 + 700 * uniform();
                    message.time = now + std::chrono::milliseconds(static_cast<int>(delay));
                    // A tenth is lost, a tenth arrives twice.
                    if (to != from && fate < (copy == 0 ? 0.9 : 0.1))
                        inboxes[to].push_back(message);
                }
            }
        }
    }

    void deliver()
    {
        for (std::size_t to = 0; to < receivers(); ++to) {
            for (auto &message : inboxes[to]) {
                if (message.time > now || message.reports.empty())
                    continue;
                auto &last = lastNumbers[to][message.from];
                for (const auto &report : message.reports) {
                    if (message.number > last)
                        tables[to].noteReport(report, Origin::Instance, now);
                }
                last = std::max(last, message.number);
                message.reports.clear();
            }
            std::erase_if(inboxes[to], [](const auto &it) { return it.reports.empty(); });
        }
    }

    std::size_t receivers() const { return std::min<std::size_t>(4, tables.size()); }
    SpeedTable &observer() { return tables[receivers() - 1]; }
    /// The speed of an engine as the observer knows it, relative to the actual one.
    double error(std::size_t engine, double median)
    {
        return observer().relativeSpeed(engine) / (engines[engine].speed / median);
    }

    using Origin = SpeedTable::Origin;

    std::vector<Engine> engines;
    std::vector<SpeedTable> tables;
    std::mt19937_64 random;
    Monotonic now {};
    double noiseShare = 0;
    std::optional<std::size_t> slowKeeper;
    std::optional<std::size_t> killed;
    unsigned reportNumber = 0;
    std::map<std::size_t, std::vector<Message>> inboxes;
    std::map<std::size_t, std::map<std::size_t, unsigned>> lastNumbers;
};

Simulation unevenFleet(std::size_t instances, unsigned seed)
{
    Simulation fleet(instances, 60, seed);
    for (std::size_t n = 0; n < fleet.engines.size(); ++n)
        fleet.engines[n].speed = n % 3 == 2 ? 1.7 : 0.7;
    return fleet;
}

} // namespace

TEST_CASE("all instances learn the speeds of uneven engines, however many instances there are")
{
    for (const std::size_t instances : {3, 30, 300}) {
        for (const unsigned seed : {1, 2, 3}) {
            auto fleet = unevenFleet(instances, seed);
            fleet.noiseShare = 0.15;
            std::optional<Milliseconds> known;
            fleet.run(40s, [&] {
                if (!known && fleet.observer().isUneven())
                    known = fleet.now - Monotonic();
            });
            REQUIRE(known);
            double worst = 1;
            unsigned good = 0;
            for (std::size_t n = 0; n < fleet.engines.size(); ++n) {
                const double error = fleet.error(n, 0.7);
                worst = std::max({worst, error, 1 / error});
                good += error > 0.74 && error < 1.35 ? 1 : 0;
            }
            const double rate = fleet.observer().medianRate();
            CAPTURE(instances, seed, known->count(), worst, good, rate);
            // With 300 instances each one measures a single engine, so it takes the longest to
            // learn the fixed time per prompt.
            CHECK(*known < 25s);
            CHECK(good >= 57);
            // At any time, a few engines have several slow phases in a row, which can't be told
            // from a change. They are known to be slower by no more than these phases are.
            CHECK(worst < 2.5);
        }
    }
}

TEST_CASE("a sudden change of an engine's speed is followed without overshoot")
{
    for (const double factor : {2.4, 1 / 2.4}) {
        for (const unsigned seed : {1, 2, 3}) {
            auto fleet = unevenFleet(30, seed);
            fleet.run(20s);
            REQUIRE(fleet.observer().isUneven());
            constexpr std::size_t Changed = 4;
            fleet.engines[Changed].speed *= factor;
            const auto start = fleet.now;
            std::optional<Milliseconds> followed;
            double overshoot = 1;
            fleet.run(20s, [&] {
                const double error = fleet.error(Changed, 0.7);
                if (!followed && error > 0.8 && error < 1.25)
                    followed = fleet.now - start;
                overshoot = std::max(overshoot, factor > 1 ? error : 1 / error);
            });
            REQUIRE(followed);
            CAPTURE(factor, seed, followed->count(), overshoot);
            CHECK(*followed < 4s);
            CHECK(overshoot < 1.2);
        }
    }
}

TEST_CASE("a uniform service stays even, with slow phases and engines that get shorter prompts")
{
    for (const unsigned seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
        Simulation fleet(30, 60, seed);
        fleet.noiseShare = 0.15;
        for (std::size_t n = 0; n < fleet.engines.size(); ++n)
            fleet.engines[n].longShare = n % 2 == 0 ? 0.2 : 0.8;
        bool wasUneven = false;
        fleet.run(60s, [&] { wasUneven = wasUneven || fleet.observer().isUneven(); });
        CAPTURE(seed, fleet.tables[0].overhead().count());
        CHECK_FALSE(wasUneven);
    }
}

TEST_CASE("a slow phase of an engine hardly changes its speed")
{
    for (const unsigned seed : {1, 2, 3, 4, 5}) {
        auto fleet = unevenFleet(30, seed);
        fleet.run(20s);
        const double before = fleet.observer().relativeSpeed(2);
        fleet.engines[2].slowUntil = fleet.now + 600ms;
        double lowest = before;
        fleet.run(5s, [&] { lowest = std::min(lowest, fleet.observer().relativeSpeed(2)); });
        CAPTURE(seed, before, lowest);
        CHECK(lowest > 0.75 * before);
    }
}

TEST_CASE("an engine that slows down under load is followed")
{
    auto fleet = unevenFleet(30, 1);
    fleet.run(20s);
    double worst = 1;
    const auto start = fleet.now;
    fleet.run(20s, [&] {
        const double elapsed = Milliseconds(fleet.now - start) / Milliseconds(10s);
        fleet.engines[2].speed = 1.7 * (1 - 0.45 * std::min(1.0, elapsed));
        worst = std::max(worst, fleet.error(2, 0.7));
    });
    CAPTURE(worst, fleet.error(2, 0.7));
    CHECK(worst < 1.4);
    CHECK(fleet.error(2, 0.7) < 1.2);
}

TEST_CASE("a keeper that measures late does not report its engines as slow")
{
    for (const unsigned seed : {1, 2, 3}) {
        Simulation fleet(10, 60, seed);
        fleet.slowKeeper = 1;
        bool wasUneven = false;
        fleet.run(10s);
        fleet.run(30s, [&] { wasUneven = wasUneven || fleet.observer().isUneven(); });
        for (std::size_t n = 0; n < fleet.engines.size(); ++n) {
            CAPTURE(seed, n, fleet.engines[n].keeper, fleet.error(n, 1));
            CHECK(fleet.error(n, 1) > 0.85);
        }
        CHECK_FALSE(wasUneven);
    }
}

TEST_CASE("the next keeper continues with the speeds of one that was killed")
{
    auto fleet = unevenFleet(12, 1);
    fleet.run(20s);
    fleet.killed = 0;
    std::vector<std::size_t> moved;
    for (std::size_t n = 0; n < fleet.engines.size(); ++n) {
        if (fleet.engines[n].keeper != 0)
            continue;
        fleet.engines[n].keeper = 1;
        moved.push_back(n);
    }
    double worst = 1;
    fleet.run(10s, [&] {
        for (const auto n : moved) {
            const double error = fleet.error(n, 0.7);
            worst = std::max({worst, error, 1 / error});
        }
    });
    CAPTURE(worst);
    CHECK(worst < 1.3);
}

TEST_CASE("an estimate loses its weight with age, and is no longer passed on")
{
    SpeedTable table;
    const Monotonic now {1h};
    constexpr auto Origin = SpeedTable::Origin::Instance;
    table.noteReport({1, 0.4, 10, 0s}, Origin, now);
    for (std::uint64_t other = 2; other < 8; ++other)
        table.noteReport({other, 1, 10, 0s}, Origin, now);
    table.refresh(now + 5s);
    const double fresh = table.relativeSpeed(1);
    CHECK(fresh < 0.5);
    table.refresh(now + 50s);
    CHECK(table.relativeSpeed(1) > fresh);
    CHECK(table.reports(Origin, now + 50s).size() == 7);
    CHECK(table.reports(Origin, now + 61s).empty());
    table.refresh(now + 61s);
    CHECK(table.relativeSpeed(1) == Approx(1));
    CHECK_FALSE(table.isUneven());
}

TEST_CASE("a report that is older than the known estimate is ignored")
{
    SpeedTable table;
    const Monotonic now {1h};
    table.noteReport({1, 2, 10, 1s}, SpeedTable::Origin::Instance, now);
    table.noteReport({1, 1, 10, 3s}, SpeedTable::Origin::Elsewhere, now);
    CHECK(table.reports(SpeedTable::Origin::Elsewhere, now).empty());
    REQUIRE(table.reports(SpeedTable::Origin::Instance, now).size() == 1);
    CHECK(table.reports(SpeedTable::Origin::Instance, now).front().speed == Approx(2));
}
