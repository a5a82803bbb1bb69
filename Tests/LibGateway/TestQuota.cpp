#include <LibCore/Hash.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/QuotaExchange.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::QuotaExchange;
using Gateway::QuotaLedger;
using Gateway::QuotaLimit;

namespace {

constexpr std::uint64_t Team = 7;

/// A fleet whose instances move units by messages that are delayed, lost and cut off, freeze, and
/// restart. Time passes in steps.
class History
{
public:
    History(std::uint64_t seed, unsigned instances, QuotaLimit limit)
        : m_random(seed)
        , m_limit(limit)
        , m_count(instances)
    {
        m_clock.advance(1h);
        m_ledgers.resize(instances);
        m_frozenUntil.resize(instances, m_clock.now());
        for (auto &ledger : m_ledgers)
            configure(ledger);
    }

    void setLimit(QuotaLimit limit)
    {
        m_limit = limit;
        for (auto &ledger : m_ledgers)
            configure(ledger);
    }

    /// Plays some time in which the team sends several times its cap to a few instances.
    void play(std::chrono::seconds time, bool isQuiet = false)
    {
        const auto end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_clock.advance(5ms);
            deliver();
            if (!isQuiet)
                disturb();
            for (unsigned n = 0; n < m_count; ++n) {
                if (m_frozenUntil[n] <= m_clock.now() && chance(n < m_count / 3 ? 0.3 : 0.02))
                    request(n, 200 + static_cast<double>(m_random() % 2'000));
            }
        }
    }

    /// Returns the most units that were spent in any window beyond the rate and the burst, as a
    /// share of rate times window plus burst.
    double worstExcess(std::chrono::seconds window) const
    {
        double worst = 0;
        double sum = 0;
        std::size_t first = 0;
        const double allowed =
            m_limit.perSecond * static_cast<double>(window.count()) + m_limit.burst;
        for (std::size_t n = 0; n < m_spent.size(); ++n) {
            sum += m_spent[n].second;
            while (m_spent[first].first <= m_spent[n].first - window)
                sum -= m_spent[first++].second;
            worst = std::max(worst, sum / allowed - 1);
        }
        return worst;
    }
    double spentSince(Core::Clock::Monotonic begin) const
    {
        double sum = 0;
        for (const auto &[time, units] : m_spent)
            sum += time >= begin ? units : 0;
        return sum;
    }
    void forgetSpent() { m_spent.clear(); }
    Core::Clock::Monotonic now() const { return m_clock.now(); }
    /// Planted faults: units that donors keep, and restarts with a full bucket.
    bool donorsKeep = false;
    bool restartsFull = false;
    double restartShare = 0.002;

private:
    using Message = std::pair<Core::Clock::Monotonic, std::uint64_t>;

    bool chance(double share) { return static_cast<double>(m_random() % 10'000) < share * 10'000; }
    void configure(QuotaLedger &ledger)
    {
        ledger.configure({{Team, m_limit}}, m_count, m_clock.now());
    }
    void send(unsigned from, unsigned to, std::function<void()> action)
    {
        const bool isCut = (from < m_count / 2) != (to < m_count / 2) && m_isCut;
        if (isCut || chance(0.05))
            return;
        later(chance(0.05) ? 800ms : std::chrono::milliseconds(m_random() % 20), std::move(action));
    }
    void later(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_messages.emplace(m_clock.now() + delay, m_nextMessage);
        m_actions[m_nextMessage++] = std::move(action);
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.top().first <= m_clock.now()) {
            auto action = std::move(m_actions.extract(m_messages.top().second).mapped());
            m_messages.pop();
            action();
        }
    }
    void disturb()
    {
        if (chance(0.002))
            m_isCut = !m_isCut;
        const auto n = static_cast<unsigned>(m_random() % m_count);
        if (chance(0.002))
            m_frozenUntil[n] = m_clock.now() + 2s;
        if (!chance(restartShare))
            return;
        m_ledgers[n] = QuotaLedger();
        configure(m_ledgers[n]);
        if (restartsFull)
            m_ledgers[n].put(Team, m_limit.burst / m_count, m_clock.now());
    }
    void request(unsigned n, double units)
    {
        if (spend(n, units))
            return;
        // Two instances pool the units, as with different views of the members.
        const auto pool = (n + (chance(0.2) ? 1 : 0)) % 2;
        const double missing = m_ledgers[n].missing(Team, units, m_clock.now());
        send(n, pool, [this, n, pool, units, missing] { ask(n, pool, units, missing); });
    }
    void ask(unsigned n, unsigned pool, double units, double missing)
    {
        m_ledgers[pool].expectInPool(Team, missing, m_clock.now());
        for (unsigned donor = 0; donor < m_count; ++donor) {
            send(pool, donor, [this, donor, pool, missing] {
                const double given =
                    m_ledgers[donor].donate(Team, 3 * missing / m_count, m_clock.now());
                if (donorsKeep)
                    m_ledgers[donor].put(Team, given, m_clock.now());
                send(donor, pool, [this, pool, given] {
                    m_ledgers[pool].addToPool(Team, given, m_clock.now());
                });
            });
        }
        // The pool answers when most gifts have arrived.
        later(25ms, [this, n, pool, units, missing] {
            const double granted = m_ledgers[pool].takeFromPool(Team, missing, m_clock.now());
            send(pool, n, [this, n, granted, units] {
                m_ledgers[n].put(Team, granted, m_clock.now());
                spend(n, units);
            });
        });
    }
    bool spend(unsigned n, double units)
    {
        if (!m_ledgers[n].take(Team, units, m_clock.now()))
            return false;
        m_spent.emplace_back(m_clock.now(), units);
        return true;
    }

    std::mt19937_64 m_random;
    Core::ManualClock m_clock;
    QuotaLimit m_limit;
    unsigned m_count;
    std::vector<QuotaLedger> m_ledgers;
    std::vector<Core::Clock::Monotonic> m_frozenUntil;
    std::vector<std::pair<Core::Clock::Monotonic, double>> m_spent;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::map<std::uint64_t, std::function<void()>> m_actions;
    std::uint64_t m_nextMessage = 0;
    bool m_isCut = false;
};

/// A real clock that a test can put forward.
class ShiftedClock final : public Core::Clock
{
public:
    Monotonic now() const override { return m_real.now() + m_shift; }
    Wall wallNow() const override { return m_real.wallNow(); }
    void advance(std::chrono::nanoseconds step) { m_shift += step; }

private:
    Core::SuspensionAwareClock m_real;
    std::chrono::nanoseconds m_shift {0};
};

/// Instances that exchange datagrams in memory.
struct Network
{
    explicit Network(unsigned count, QuotaLimit limit)
    {
        for (unsigned n = 0; n < count; ++n) {
            members.push_back(std::make_unique<Gateway::FleetMembers>(
                Gateway::FleetMember {Core::InstanceId("i" + std::to_string(n)), "a", endpoint(n)},
                clock));
            exchanges.push_back(std::make_unique<QuotaExchange>(
                context, QuotaExchange::Dependencies {
                             clock, *members.back(),
                             [this, n](const Http::Endpoint &to, std::string_view datagram) {
                                 asio::post(context, [this, n, number = to.port() - 1'000U,
                                                      bytes = std::string(datagram)] {
                                     if (!silent.contains(number))
                                         exchanges[number]->apply(bytes, endpoint(n));
                                 });
                             }}));
        }
        for (auto &one : members) {
            for (auto &other : members)
                one->noteDatagram(other->self());
        }
        for (auto &exchange : exchanges)
            exchange->configure({{"team", limit}}, count);
    }
    static Http::Endpoint endpoint(unsigned n)
    {
        return {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(1'000 + n)};
    }
    std::optional<std::chrono::milliseconds> take(unsigned n, double units)
    {
        std::optional<std::chrono::milliseconds> result;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> { result = co_await exchanges[n]->take("team", units); },
            asio::detached);
        context.restart();
        context.run();
        return result;
    }

    ShiftedClock clock;
    asio::io_context context;
    std::vector<std::unique_ptr<Gateway::FleetMembers>> members;
    std::vector<std::unique_ptr<QuotaExchange>> exchanges;
    std::set<unsigned> silent;
};

} // namespace

TEST_CASE("all instances together stay within a usage cap, whatever happens to their messages")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        History history(seed, 6 + seed % 20, {40'000, 40'000});
        history.play(20s);
        CHECK(history.worstExcess(8s) <= 0.05);
        CHECK(history.worstExcess(2s) <= 0.05);
    }
}

TEST_CASE("the check of usage caps notices units that are spent twice")
{
    History kept(1, 12, {40'000, 40'000});
    kept.donorsKeep = true;
    kept.play(20s);
    CHECK(kept.worstExcess(8s) > 0.05);
    // The same restarts with empty and with full buckets.
    double empty = 0;
    double full = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const bool isFull : {false, true}) {
            History history(seed, 3, {4'000, 8'000});
            history.restartShare = 0.02;
            history.restartsFull = isFull;
            history.play(30s);
            auto &worst = isFull ? full : empty;
            worst = std::max(worst, history.worstExcess(8s));
        }
    }
    CHECK(empty <= 0.05);
    CHECK(full > 0.05);
}

TEST_CASE("a team whose requests reach a few instances can use the parts of the others")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        History history(seed, 24, {60'000, 60'000});
        history.play(5s, true);
        const auto begin = history.now();
        history.play(10s, true);
        CHECK(history.spentSince(begin) > 0.8 * 60'000 * 10);
    }
}

TEST_CASE("a lower cap takes effect at once")
{
    History history(3, 12, {60'000, 60'000});
    history.play(5s);
    history.setLimit({6'000, 6'000});
    history.forgetSpent();
    history.play(10s);
    CHECK(history.worstExcess(8s) <= 0.1);
}

TEST_CASE("a request that one instance's part does not cover is granted from the others' parts")
{
    Network network(20, {20'000, 20'000});
    network.clock.advance(2s);
    // Each bucket holds 500 units.
    CHECK_FALSE(network.take(3, 400));
    CHECK_FALSE(network.take(3, 5'000));
    CHECK_FALSE(network.take(4, 2'000));
    const auto refused = network.take(5, 9'000);
    REQUIRE(refused);
    CHECK(*refused == 450ms);
    network.clock.advance(1s);
    CHECK_FALSE(network.take(5, 9'000));
    // A team without a cap is not limited.
    network.exchanges[0]->configure({}, 20);
    CHECK_FALSE(network.take(0, 1e9));
}

TEST_CASE("units of a request that did not run are given back")
{
    Network network(1, {1'000, 2'000});
    network.clock.advance(2s);
    CHECK_FALSE(network.take(0, 900));
    CHECK(network.take(0, 900));
    network.exchanges[0]->giveBack("team", 900);
    CHECK_FALSE(network.take(0, 900));
}

TEST_CASE("silent members delay a grant but do not prevent it")
{
    Network network(20, {20'000, 20'000});
    network.clock.advance(2s);
    for (unsigned n = 10; n < 20; ++n)
        network.silent.insert(n);
    unsigned granted = 0;
    for (unsigned n = 0; n < 4; ++n)
        granted += network.take(n, 900) ? 0 : 1;
    CHECK(granted >= 3);
}

TEST_CASE("units that are given back after an outage do not add up to more than the burst")
{
    Core::ManualClock clock;
    clock.advance(1h);
    QuotaLedger ledger;
    ledger.configure({{Team, {1'000, 1'000}}}, 1, clock.now());
    int held = 0;
    for (int n = 0; n < 120; ++n) {
        clock.advance(500ms);
        held += ledger.take(Team, 400, clock.now()) ? 1 : 0;
    }
    REQUIRE(held > 100);
    // The upstreams ran none of them.
    for (int n = 0; n < held; ++n)
        ledger.giveBack(Team, 400, clock.now());
    int spent = 0;
    while (ledger.take(Team, 100, clock.now()))
        spent += 100;
    CHECK(spent <= 1'000);
}

TEST_CASE("an instance that does not know how many others run spends nothing")
{
    Core::ManualClock clock;
    clock.advance(1h);
    QuotaLedger ledger;
    ledger.configure({{Team, {1'000, 1'000}}}, 0, clock.now());
    clock.advance(10s);
    CHECK_FALSE(ledger.take(Team, 1, clock.now()));
    CHECK(ledger.donate(Team, 100, clock.now()) == 0);
    ledger.configure({{Team, {1'000, 1'000}}}, 2, clock.now());
    CHECK_FALSE(ledger.take(Team, 1, clock.now()));
    clock.advance(100ms);
    CHECK(ledger.take(Team, 40, clock.now()));
}

namespace {

std::string moveOf(std::uint64_t incarnation, Gateway::Wire::QuotaStep step, double units)
{
    flatbuffers::FlatBufferBuilder builder;
    const Gateway::Wire::QuotaMove entry(1, Core::hash64("team"), units, step);
    const auto list = builder.CreateVectorOfStructs(&entry, 1);
    builder.Finish(Gateway::Wire::CreateQuotaMessage(builder, incarnation, list), "JSQT");
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace

TEST_CASE("units that are no numbers grant nothing")
{
    Network network(3, {20'000, 20'000});
    network.clock.advance(2s);
    for (const double units : {std::nan(""), -1e9, HUGE_VAL}) {
        for (const auto step : {Gateway::Wire::QuotaStep::Ask, Gateway::Wire::QuotaStep::Collect,
                                Gateway::Wire::QuotaStep::Gift}) {
            for (auto &exchange : network.exchanges)
                exchange->apply(moveOf(99, step, units), Network::endpoint(1));
        }
    }
    for (unsigned n = 0; n < 3; ++n)
        CHECK(network.take(n, 1e9));
    // More than two instances have.
    CHECK_FALSE(network.take(0, 9'000));
}

TEST_CASE("gifts count after thousands of restarts of members")
{
    Network network(3, {20'000, 20'000});
    for (std::uint64_t incarnation = 1; incarnation <= 5'000; ++incarnation) {
        for (auto &exchange : network.exchanges)
            exchange->apply(moveOf(incarnation, Gateway::Wire::QuotaStep::Gift, 0.001),
                            Network::endpoint(1));
    }
    network.clock.advance(5min);
    CHECK_FALSE(network.take(0, 9'000));
}

TEST_CASE("a cap without a burst still lets the rate be used, in requests of many units")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        History history(seed, 12, {60'000, 0});
        history.play(5s, true);
        const auto begin = history.now();
        history.play(10s, true);
        CHECK(history.spentSince(begin) > 0.8 * 60'000 * 10);
        CHECK(history.worstExcess(8s) <= 0.1);
    }
    Network network(20, {60'000, 0});
    network.clock.advance(2s);
    CHECK_FALSE(network.take(3, 12'000));
    CHECK(network.take(4, 90'000));
}
