#include <LibCore/IoThreads.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SharedLog.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetPage;
using Gateway::FleetTopic;

namespace {

/// The connection of one instance to the store, which can fail for that instance alone.
class StoreConnection final : public Gateway::FleetLog
{
public:
    explicit StoreConnection(std::vector<std::string> &records)
        : m_records(records)
    { }

    asio::awaitable<FleetPage> newest(FleetTopic) override
    {
        countCall();
        co_await hangIfAsked();
        FleetPage page;
        page.next = m_records.size();
        if (!m_records.empty())
            page.records.push_back({m_records.size() - 1, "key", m_records.back()});
        co_return page;
    }
    asio::awaitable<FleetPage> read(FleetTopic, Gateway::LogPosition from,
                                    std::chrono::milliseconds wait) override
    {
        countCall();
        lastWait = wait;
        co_await hangIfAsked();
        FleetPage page;
        page.next = m_records.size();
        for (auto n = from.offset(); n < m_records.size(); ++n)
            page.records.push_back({n, "key", m_records[n]});
        co_return page;
    }
    asio::awaitable<Gateway::AppendOutcome> append(FleetTopic, std::string value,
                                                   std::optional<Gateway::LogPosition>) override
    {
        countCall();
        m_records.push_back(std::move(value));
        co_return Gateway::AppendOutcome {true, m_records.size() - 1};
    }

    bool isUnavailable = false;
    bool isHanging = false;
    /// How many of the next calls hang.
    int nextHanging = 0;
    int calls = 0;
    int hangingCalls = 0;
    int mostHangingCalls = 0;
    std::chrono::milliseconds lastWait {0};

private:
    struct HangingCall
    {
        explicit HangingCall(StoreConnection &it)
            : store(it)
        {
            store.mostHangingCalls = std::max(store.mostHangingCalls, ++store.hangingCalls);
        }
        ~HangingCall() { --store.hangingCalls; }
        HangingCall(const HangingCall &) = delete;
        HangingCall &operator=(const HangingCall &) = delete;

        StoreConnection &store;
    };

    asio::awaitable<void> hangIfAsked()
    {
        if (isHanging || (nextHanging > 0 && nextHanging-- > 0)) {
            const HangingCall call(*this);
            asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    void countCall()
    {
        ++calls;
        if (isUnavailable)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable, "rejected by the store");
    }

    std::vector<std::string> &m_records;
};

struct Instance
{
    Instance(const std::string &name, const std::string &dataCentre,
             std::vector<std::string> &records, Core::IoThreads &threads, const Core::Clock &clock)
        : store(records)
        , relay(clock)
        , server(Http::Server::create(
                     threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                     [this](Http::ServerExchange &exchange) { return relay.answer(exchange); })
                     .value())
        , members({Core::InstanceId(name), dataCentre, server->localEndpoint()}, clock)
        , log({store, relay, members, clock, settings})
    { }

    Gateway::GatewaySettings settings;
    StoreConnection store;
    Gateway::LogRelay relay;
    std::unique_ptr<Http::Server> server;
    Gateway::FleetMembers members;
    Gateway::SharedLog log;
};

struct Fleet
{
    Fleet() { clock.advance(1h); }
    ~Fleet() { threads.stop(); }

    Instance &add(const std::string &name, const std::string &dataCentre = "north")
    {
        instances.push_back(std::make_unique<Instance>(name, dataCentre, records, threads, clock));
        exchangeDatagrams();
        return *instances.back();
    }

    /// Every instance records a datagram of every other one.
    void exchangeDatagrams()
    {
        for (auto &one : instances) {
            for (auto &other : instances)
                one->members.noteDatagram(other->members.self());
        }
    }

    FleetPage read(Instance &instance, std::uint64_t from, std::chrono::milliseconds wait = 100ms,
                   FleetTopic topic = FleetTopic::Operator)
    {
        return asio::co_spawn(threads.at(0), instance.log.read(topic, from, wait), asio::use_future)
            .get();
    }
    FleetPage readUpstreams(Instance &instance, std::uint64_t from)
    {
        return read(instance, from, 100ms, FleetTopic::Upstreams);
    }

    Instance &firstInstance(bool isReader)
    {
        for (auto &instance : instances) {
            if (instance->log.isReader() == isReader)
                return *instance;
        }
        throw std::logic_error("no such instance");
    }

    Core::ManualClock clock;
    Core::IoThreads threads {1};
    std::vector<std::string> records {"first"};
    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace

TEST_CASE("a few instances of a data centre read the store, and the others query them")
{
    Fleet fleet;
    for (int n = 0; n < 8; ++n)
        fleet.add("n" + std::to_string(n));
    // The other data centre has few instances, so all of them are readers.
    fleet.add("s0", "south");
    int readers = 0;
    for (auto &instance : fleet.instances)
        readers += instance->log.isReader() ? 1 : 0;
    CHECK(readers == 3 + 1);
    for (auto &instance : fleet.instances) {
        if (instance->log.isReader())
            fleet.read(*instance, 0);
    }
    for (int round = 0; round < 3; ++round) {
        for (auto &instance : fleet.instances) {
            if (!instance->log.isReader())
                CHECK(fleet.read(*instance, 0).records.size() == 1);
        }
    }
    for (auto &instance : fleet.instances)
        CHECK(instance->store.calls == (instance->log.isReader() ? 1 : 0));
}

TEST_CASE("a sibling's answer has the age of its data, and old data causes a read of the store")
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n)
        fleet.add("n" + std::to_string(n));
    const auto begin = fleet.clock.now();
    for (auto &instance : fleet.instances) {
        if (instance->log.isReader())
            fleet.read(*instance, 0);
    }
    auto &follower = fleet.firstInstance(false);
    fleet.clock.advance(1s);
    fleet.exchangeDatagrams();
    const auto page = fleet.read(follower, 0);
    CHECK(page.asOf <= begin);
    CHECK(page.asOf >= begin - 100ms);
    CHECK(follower.store.calls == 0);
    fleet.clock.advance(3s);
    fleet.exchangeDatagrams();
    CHECK(fleet.read(follower, 0).asOf == fleet.clock.now());
    CHECK(follower.store.calls == 1);
}

TEST_CASE("a follower leaves a reader whose store reads hang well before the configuration bound")
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n)
        fleet.add("n" + std::to_string(n));
    auto &follower = fleet.firstInstance(false);
    const auto bound = follower.settings.configurationBound;
    for (auto &instance : fleet.instances) {
        if (!instance->log.isReader())
            continue;
        fleet.read(*instance, 0, 10s);
        // Readers with followers read often enough that followers accept their data.
        CHECK(instance->store.lastWait * 2 <= 0.6 * bound);
    }
    fleet.clock.advance(bound / 2);
    fleet.exchangeDatagrams();
    fleet.read(follower, 0);
    CHECK(follower.store.calls == 0);
    // The readers make no more store reads from here on.
    fleet.clock.advance(bound / 4);
    fleet.exchangeDatagrams();
    fleet.records.emplace_back("newer");
    CHECK(fleet.read(follower, 1).records.size() == 1);
    CHECK(follower.store.calls == 1);
    // An instance alone in its data centre may use long polls.
    auto &single = fleet.add("s0", "south");
    fleet.read(single, 0, 10s);
    CHECK(single.store.lastWait == 10s);
}

TEST_CASE("an instance whose reader has failed reads the store at once")
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n)
        fleet.add("n" + std::to_string(n));
    auto &follower = fleet.firstInstance(false);
    for (auto &instance : fleet.instances) {
        if (instance->log.isReader())
            instance->server->stopAccepting();
    }
    CHECK(fleet.read(follower, 0).records.size() == 1);
    CHECK(follower.store.calls == 1);
}

TEST_CASE("an instance that the store rejects reads through any sibling that the store serves")
{
    Fleet fleet;
    auto &cutOff = fleet.add("n0");
    auto &alsoCutOff = fleet.add("n1");
    auto &connected = fleet.add("s0", "south");
    fleet.read(cutOff, 0);
    fleet.read(alsoCutOff, 0);
    cutOff.store.isUnavailable = true;
    alsoCutOff.store.isUnavailable = true;
    fleet.clock.advance(1s);
    fleet.exchangeDatagrams();
    fleet.records.emplace_back("second");
    const auto requestTime = fleet.clock.now();
    fleet.read(connected, 1);
    fleet.clock.advance(500ms);
    // A sibling that the store rejects as well may be queried first; its data is not newer.
    FleetPage page;
    for (int n = 0; n < 4 && page.records.empty(); ++n) {
        try {
            page = fleet.read(cutOff, 1);
        } catch (const Core::Error &error) {
            CHECK(error.kind() == Core::ErrorKind::PlatformUnavailable);
        }
    }
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().value == "second");
    CHECK(page.records.front().position == 1);
    CHECK(page.asOf <= requestTime);
    // The failure is this instance's; the sibling that read the store had none.
    CHECK(page.lastStoreFailure == Core::Clock::Monotonic::min());
    // Queries before there is newer data do not cause reads of the store.
    const auto calls = cutOff.store.calls;
    for (int n = 0; n < 3; ++n) {
        fleet.clock.advance(200ms);
        fleet.exchangeDatagrams();
        CHECK(fleet.read(cutOff, 2).asOf <= requestTime);
    }
    CHECK(cutOff.store.calls == calls);
}

TEST_CASE("after an outage the store is read again, however many siblings have only old data")
{
    Fleet fleet;
    for (int n = 0; n < 14; ++n)
        fleet.add("n" + std::to_string(n));
    for (auto &instance : fleet.instances) {
        fleet.read(*instance, 0);
        instance->store.isUnavailable = true;
    }
    fleet.clock.advance(10s);
    fleet.exchangeDatagrams();
    auto &first = *fleet.instances.front();
    CHECK_THROWS_AS(fleet.read(first, 1), Core::Error);
    // The siblings are no longer skipped, and the store is not due yet.
    fleet.clock.advance(2'500ms);
    fleet.exchangeDatagrams();
    // The store is back. Time passes while siblings are queried, so that those that were skipped
    // are tried again.
    first.store.isUnavailable = false;
    fleet.records.emplace_back("after the outage");
    std::atomic<bool> isDone = false;
    auto passTime = asio::co_spawn(
        fleet.threads.at(0),
        [&]() -> asio::awaitable<void> {
            for (int n = 0; n < 500 && !isDone; ++n) {
                co_await Gateway::sleepFor(10ms);
                fleet.clock.advance(100ms);
                fleet.exchangeDatagrams();
            }
        },
        asio::use_future);
    const auto begin = fleet.clock.now();
    const auto page = fleet.read(first, 1);
    isDone = true;
    passTime.get();
    CHECK(page.asOf - begin < 6s);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().value == "after the outage");
}

TEST_CASE("when the store is unavailable to all, siblings' data becomes too old and reads fail")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    auto &other = fleet.add("n1");
    fleet.read(one, 0);
    fleet.read(other, 0);
    one.store.isUnavailable = true;
    other.store.isUnavailable = true;
    fleet.clock.advance(5s);
    fleet.exchangeDatagrams();
    CHECK_THROWS_AS(fleet.read(one, 1), Core::Error);
}

TEST_CASE("a sibling without the requested records causes a read of the store")
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n)
        fleet.add("n" + std::to_string(n));
    fleet.records = {"first", "second"};
    for (auto &instance : fleet.instances) {
        // Readers start after the first record.
        if (instance->log.isReader())
            fleet.read(*instance, 1);
    }
    auto &follower = fleet.firstInstance(false);
    CHECK(fleet.read(follower, 0).records.size() == 2);
    CHECK(follower.store.calls == 1);
}

TEST_CASE("the calls to the store do not grow with a large fleet")
{
    for (const unsigned perDataCentre : {6U, 20U, 42U}) {
        Fleet fleet;
        const std::vector<std::string> names {"a", "b", "c", "d", "e"};
        for (unsigned n = 0; n < perDataCentre; ++n) {
            for (const auto &name : names)
                fleet.instances.push_back(std::make_unique<Instance>(
                    name + std::to_string(n), name, fleet.records, fleet.threads, fleet.clock));
        }
        fleet.exchangeDatagrams();
        const auto readAll = [&fleet] {
            // The readers of the store first, then those that query them, then the followers.
            const auto rank = [](const Instance &it) {
                return it.log.readsStore() ? 0 : it.log.isReader() ? 1 : 2;
            };
            for (int step = 0; step < 3; ++step) {
                for (auto &instance : fleet.instances) {
                    if (rank(*instance) == step)
                        CHECK(fleet.read(*instance, fleet.records.size() - 1).records.size() == 1);
                }
            }
        };
        for (int round = 0; round < 3; ++round) {
            readAll();
            fleet.records.push_back("record " + std::to_string(round));
            fleet.clock.advance(900ms);
            fleet.exchangeDatagrams();
        }
        int calls = 0;
        for (auto &instance : fleet.instances)
            calls += instance->store.calls;
        CHECK(calls == 3 * 2);
    }
}

TEST_CASE("an instance that starts takes the newest records from a sibling that has them")
{
    Fleet fleet;
    for (int n = 0; n < 10; ++n) {
        fleet.add("n" + std::to_string(n));
        fleet.add("s" + std::to_string(n), "south");
    }
    const auto newest = [&fleet](Instance &instance) {
        return asio::co_spawn(fleet.threads.at(0), instance.log.newest(FleetTopic::Operator),
                              asio::use_future)
            .get();
    };
    const auto begin = fleet.clock.now();
    for (auto &instance : fleet.instances)
        instance->members.noteSelfAnnounced();
    for (const bool readsStore : {true, false}) {
        for (auto &instance : fleet.instances) {
            if (instance->log.isReader() && instance->log.readsStore() == readsStore)
                newest(*instance);
        }
    }
    auto &follower = fleet.firstInstance(false);
    const auto page = newest(follower);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().value == "first");
    CHECK(page.next == 1);
    CHECK(page.asOf <= begin);
    CHECK(follower.store.calls == 0);
    // The siblings' data is too old.
    fleet.clock.advance(5s);
    fleet.exchangeDatagrams();
    fleet.records.emplace_back("second");
    CHECK(newest(follower).records.front().value == "second");
    CHECK(follower.store.calls == 1);
}

TEST_CASE("after one failed read the store is read again, though a sibling has older upstreams")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    auto &other = fleet.add("n1");
    fleet.readUpstreams(one, 0);
    fleet.readUpstreams(other, 0);
    fleet.clock.advance(800ms);
    one.store.isUnavailable = true;
    fleet.readUpstreams(one, 1);
    one.store.isUnavailable = false;
    fleet.records.emplace_back("leaving");
    fleet.clock.advance(one.settings.drainBound / 4);
    fleet.exchangeDatagrams();
    const auto page = fleet.readUpstreams(one, 1);
    CHECK(page.records.size() == 1);
    CHECK(page.asOf == fleet.clock.now());
}

TEST_CASE("an instance that the store goes on rejecting rarely reads it while siblings are current")
{
    Fleet fleet;
    auto &cutOff = fleet.add("n0");
    auto &connected = fleet.add("n1");
    fleet.readUpstreams(cutOff, 0);
    cutOff.store.isUnavailable = true;
    const auto calls = cutOff.store.calls;
    for (int n = 0; n < 20; ++n) {
        fleet.clock.advance(1s);
        fleet.exchangeDatagrams();
        fleet.readUpstreams(connected, 1);
        for (int repeat = 0; repeat < 4; ++repeat)
            fleet.readUpstreams(cutOff, 1);
    }
    CHECK(cutOff.store.calls - calls <= 22);
}

TEST_CASE("while a read of the store hangs, upstreams that leave are learned from a sibling")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    auto &other = fleet.add("n1");
    fleet.readUpstreams(one, 0);
    fleet.readUpstreams(other, 0);
    fleet.clock.advance(1s);
    fleet.exchangeDatagrams();
    fleet.records.emplace_back("leaving");
    fleet.readUpstreams(other, 1);
    one.store.isHanging = true;
    auto answer = asio::co_spawn(fleet.threads.at(0), one.log.read(FleetTopic::Upstreams, 1, 100ms),
                                 asio::use_future);
    REQUIRE(answer.wait_for(10s) == std::future_status::ready);
    CHECK(answer.get().records.size() == 1);
}

TEST_CASE("reads of a store that hangs count as failed, and not more than one is under way")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    auto &other = fleet.add("n1");
    fleet.readUpstreams(one, 0);
    one.store.isHanging = true;
    const auto calls = one.store.calls;
    std::uint64_t known = 1;
    for (int n = 0; n < 40; ++n) {
        fleet.clock.advance(250ms);
        fleet.exchangeDatagrams();
        fleet.records.emplace_back("report");
        // Without a wait, the read is not spaced.
        fleet.read(other, known, 0ms, FleetTopic::Upstreams);
        const auto page = fleet.readUpstreams(one, known);
        CHECK(page.next == fleet.records.size());
        known = page.next.offset();
    }
    CHECK(one.store.mostHangingCalls == 1);
    // 10 seconds have passed.
    CHECK(one.store.calls - calls <= 12);
}

TEST_CASE(
    "one read of the store without an answer does not make the list older than the drain bound")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    fleet.readUpstreams(one, 0);
    fleet.records.emplace_back("leaving");
    constexpr auto Pause = 800ms;
    fleet.clock.advance(Pause);
    one.store.nextHanging = 1;
    auto answer = asio::co_spawn(fleet.threads.at(0), one.log.read(FleetTopic::Upstreams, 1, 2s),
                                 asio::use_future);
    REQUIRE(answer.wait_for(one.settings.drainBound - Pause) == std::future_status::ready);
    const auto page = answer.get();
    CHECK(page.records.size() == 1);
    CHECK(page.lastStoreFailure == Core::Clock::Monotonic::min());
    CHECK(one.store.mostHangingCalls == 1);
    CHECK(one.store.hangingCalls == 0);
}

TEST_CASE("one read of the store without an answer does not make a log older than its bound")
{
    const auto [topic, bound] =
        GENERATE(std::pair(FleetTopic::Operator, Gateway::GatewaySettings().configurationBound),
                 std::pair(FleetTopic::Journal, std::chrono::milliseconds(10s)));
    Fleet fleet;
    auto &one = fleet.add("n0");
    fleet.read(one, 0, 0ms, topic);
    fleet.records.emplace_back("newer");
    one.store.nextHanging = 1;
    auto answer = asio::co_spawn(fleet.threads.at(0), one.log.read(topic, 1, 1s), asio::use_future);
    REQUIRE(answer.wait_for(bound) == std::future_status::ready);
    CHECK(answer.get().records.size() == 1);
    CHECK(one.store.hangingCalls == 0);
}

TEST_CASE(
    "two reads of the store without an answer in a row do not make a log older than its bound")
{
    // The list of upstreams is read with a pause, which is a part of its age.
    const auto [topic, pause] =
        GENERATE(std::pair(FleetTopic::Operator, 0ms), std::pair(FleetTopic::Upstreams, 800ms));
    Fleet fleet;
    auto &one = fleet.add("n0");
    fleet.read(one, 0, 0ms, topic);
    fleet.records.emplace_back("newer");
    fleet.clock.advance(pause);
    one.store.nextHanging = 2;
    auto answer = asio::co_spawn(fleet.threads.at(0), one.log.read(topic, 1, 1s), asio::use_future);
    REQUIRE(answer.wait_for(one.settings.configurationBound - pause) == std::future_status::ready);
    CHECK(answer.get().records.size() == 1);
    CHECK(one.store.hangingCalls == 0);
}

TEST_CASE("a list of the newest records without an answer is requested again within the bound")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    one.store.nextHanging = 1;
    auto answer =
        asio::co_spawn(fleet.threads.at(0), one.log.newest(FleetTopic::Operator), asio::use_future);
    REQUIRE(answer.wait_for(one.settings.configurationBound) == std::future_status::ready);
    CHECK(answer.get().records.size() == 1);
}

TEST_CASE("after a failed read the store is read again before the configuration is too old")
{
    Fleet fleet;
    auto &one = fleet.add("n0");
    auto &other = fleet.add("n1");
    fleet.read(one, 0);
    fleet.read(other, 0);
    one.store.isUnavailable = true;
    fleet.read(one, 1);
    one.store.isUnavailable = false;
    fleet.records.emplace_back("newer");
    // The rest of the bound is left for the read itself.
    fleet.clock.advance(one.settings.configurationBound / 2);
    fleet.exchangeDatagrams();
    CHECK(fleet.read(one, 1).records.size() == 1);
}
