#include "RestorableLog.h"

#include <LibCore/ManualClock.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/LogTail.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;
using Gateway::LogPosition;
using Gateway::OrderLease;
using GatewayTests::RestorableLog;

namespace {

/// An instance with its journal, and what it found there.
struct Instance
{
    Instance(const std::string &name, Gateway::FleetLog &log, const Core::Clock &clock)
        : settings(settingsOf(name))
        , members({settings.instance, "north", {asio::ip::make_address("10.0.0.1"), 700}}, clock)
        , journal(log, clock, settings, poison, members)
    { }

    static Gateway::GatewaySettings settingsOf(const std::string &name)
    {
        Gateway::GatewaySettings settings;
        settings.instance = Core::InstanceId(name);
        return settings;
    }

    Gateway::GatewaySettings settings;
    Gateway::PoisonTable poison;
    Gateway::FleetMembers members;
    Gateway::FleetJournal journal;
};

/// Instances that share one log. Calls run to their end at once.
class Fleet
{
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        m_clock.advance(1h);
        for (int n = 0; n < 4; ++n)
            m_instances.push_back(
                std::make_unique<Instance>("node-" + std::to_string(n), log, m_clock));
    }

    /// One random step: time passes, an instance reads, writes or takes the lease, or the store is
    /// restored.
    void step()
    {
        m_clock.advance(std::chrono::milliseconds(random(200)));
        const auto index = random(m_instances.size() - 1);
        auto &instance = *m_instances[index];
        const auto kind = random(99);
        if (kind < 3)
            log.copy();
        else if (kind < 5)
            log.restore();
        else if (kind < 6)
            m_instances[index] = std::make_unique<Instance>(
                "node-" + std::to_string(index) + "-" + std::to_string(++m_count), log, m_clock);
        else if (kind < 15)
            announce();
        else if (kind < 50)
            run(instance.journal.readOnce(0ms));
        else
            takeLease(instance);
        const auto holders =
            std::count_if(m_instances.begin(), m_instances.end(), [this](const auto &it) {
                return it->journal.lease().token(m_clock.now(), 0ms).has_value();
            });
        CHECK(holders <= 1);
    }

    /// Checks that each instance knows every member whose announcement stands in the log.
    void checkMembers()
    {
        for (const auto &instance : m_instances) {
            for (int n = 0; n < 3; ++n)
                run(instance->journal.readOnce(0ms));
            CHECK(instance->journal.hasRead());
            for (const auto &name : m_announced) {
                if (!stands(name))
                    continue;
                CAPTURE(name, instance->settings.instance.value());
                CHECK(instance->members.siblings().contains(Core::InstanceId(name)));
            }
        }
    }

    RestorableLog log;
    unsigned taken = 0;

private:
    std::uint64_t random(std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, most)(m_random);
    }
    template <typename Value>
    Value run(asio::awaitable<Value> call)
    {
        asio::io_context context;
        auto result = asio::co_spawn(context, std::move(call), asio::use_future);
        context.run();
        return result.get();
    }
    void announce()
    {
        // No name is part of another one.
        m_announced.push_back("added-" + std::to_string(++m_count) + ".");
        Instance writer(m_announced.back(), log, m_clock);
        run(log.append(FleetTopic::Journal, writer.journal.announcement(), std::nullopt));
    }
    bool stands(const std::string &name) const
    {
        return std::any_of(log.records.begin(), log.records.end(), [&](const auto &record) {
            return record.find(name) != std::string::npos;
        });
    }
    void takeLease(Instance &instance)
    {
        const bool isHolder = run(instance.journal.takeLease());
        if (!isHolder)
            return;
        const auto token = instance.journal.lease().token(m_clock.now(), 0ms);
        REQUIRE(token);
        CHECK(*token > m_lastToken);
        m_lastToken = *token;
        ++taken;
    }

    std::mt19937 m_random;
    Core::ManualClock m_clock;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::string> m_announced;
    std::uint64_t m_lastToken = 0;
    unsigned m_count = 0;
};

} // namespace

// Guards against two holders of the lease, tokens that fall, and records that are taken for known
// ones, when the store loses its newest records.
TEST_CASE("the journal has one holder and hides no record while its store is restored")
{
    unsigned taken = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        for (int n = 0; n < 400; ++n)
            fleet.step();
        fleet.checkMembers();
        taken += fleet.taken;
    }
    CHECK(taken > 2'000);
}

TEST_CASE("positions of a later era come after all earlier ones, also as numbers")
{
    const LogPosition low(1, LogPosition::MaxOffset);
    const LogPosition high(2, 0);
    CHECK(low < high);
    CHECK(low.number() < high.number());
    CHECK(LogPosition::fromNumber(low.number()) == low);
    CHECK(LogPosition::fromNumber(high.number()) == high);
    CHECK(LogPosition(41).number() == 41);
    constexpr auto MaxExactInDouble = std::uint64_t {1} << 53;
    CHECK(OrderLease::tokenOf({LogPosition::MaxEra, LogPosition::MaxOffset}) <= MaxExactInDouble);
}

TEST_CASE("an instance answers siblings of another era that it does not have their records")
{
    Gateway::FleetPage page;
    page.next = LogPosition(1, 8);
    page.asOf = Core::Clock::Monotonic(1h);
    for (std::uint64_t n = 4; n < 8; ++n)
        page.records.push_back({LogPosition(1, n), "key", "value"});
    Gateway::LogTail tail;
    tail.extend({1, 4}, page);
    CHECK(tail.covers({1, 6}));
    CHECK_FALSE(tail.covers({2, 6}));
    CHECK_FALSE(tail.covers({0, 6}));
    // A page of the new era replaces the tail, and a late one of the old era changes nothing.
    Gateway::FleetPage next;
    next.next = LogPosition(2, 1);
    next.asOf = Core::Clock::Monotonic(2h);
    next.records.push_back({LogPosition(2, 0), "key", "newer"});
    tail.extend({2, 0}, next);
    page.asOf = Core::Clock::Monotonic(3h);
    tail.extend({1, 4}, page);
    CHECK(tail.next() == LogPosition(2, 1));
    CHECK(tail.asOf() == Core::Clock::Monotonic(2h));
    REQUIRE(tail.page({2, 0}).records.size() == 1);
    CHECK(tail.page({2, 0}).records.front().value == "newer");
}
