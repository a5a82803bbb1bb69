#include <LibCore/ManualClock.h>
#include <LibGateway/EngineQueueExchange.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::EngineQueue;
using Gateway::EngineQueueExchange;

namespace {

constexpr double Rate = 50;

Http::Endpoint endpoint(unsigned port)
{
    return {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

/// Instances of one process that exchange datagrams over an in-memory network.
struct Network
{
    struct Instance
    {
        Instance(Network &network, unsigned number, const std::string &dataCentre)
            : members({Core::InstanceId("i" + std::to_string(number)), dataCentre,
                       endpoint(1'000 + number), 100},
                      network.clock)
            , queues(network.context,
                     {network.clock,
                      members,
                      fleet,
                      [](const auto &) { return Rate; },
                      [&network, number](const Http::Endpoint &to, std::string_view datagram) {
                          network.send(number, to, datagram);
                      },
                      {},
                      [](const std::string &service) { return service == "orders"; }})
        {
            Gateway::UpstreamReport plain;
            plain.id = Core::UpstreamId("p");
            plain.service = "orders";
            plain.dataCentre = "south";
            fleet.apply(plain);
            for (int n = 0; n < 6; ++n) {
                Gateway::UpstreamReport report;
                report.id = Core::UpstreamId("w" + std::to_string(n));
                report.service = "llm";
                report.dataCentre = n % 2 ? "north" : "south";
                fleet.apply(report);
            }
        }
        std::shared_ptr<Gateway::Upstream> engine(int number = 0) const
        {
            return fleet.find(Core::UpstreamId("w" + std::to_string(number)));
        }

        std::shared_ptr<Gateway::Upstream> plain() const
        {
            return fleet.find(Core::UpstreamId("p"));
        }

        Gateway::UpstreamFleet fleet;
        Gateway::FleetMembers members;
        EngineQueueExchange queues;
        bool isSilent = false;
    };

    explicit Network(unsigned instances)
    {
        clock.advance(1h);
        for (unsigned n = 0; n < instances; ++n)
            all.push_back(std::make_unique<Instance>(*this, n, n % 2 ? "north" : "south"));
        for (auto &one : all) {
            for (auto &other : all)
                one->members.noteDatagram(other->members.self());
        }
    }

    void send(unsigned from, const Http::Endpoint &to, std::string_view datagram)
    {
        ++datagrams;
        const auto number = to.port() - 1'000U;
        asio::post(context, [this, from, number, bytes = std::string(datagram)] {
            if (!all[number]->isSilent && !all[from]->isSilent)
                all[number]->queues.apply(bytes, endpoint(1'000 + from));
        });
    }

    std::unique_ptr<Gateway::QueuePlace> enter(Instance &instance, int engine, std::uint64_t tokens,
                                               bool isUrgent = false)
    {
        std::unique_ptr<Gateway::QueuePlace> place;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                EngineQueueExchange::Demand demand {tokens, tokens, isUrgent, 4'000ms};
                place = co_await instance.queues.enter(instance.engine(engine), demand);
            },
            asio::detached);
        run();
        return place;
    }
    /// Enters a request at the upstream of a plain service, if fewer than `limit` are there.
    std::unique_ptr<Gateway::QueuePlace> enterPlain(Instance &instance, unsigned limit)
    {
        std::unique_ptr<Gateway::QueuePlace> place;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                EngineQueueExchange::Demand demand;
                demand.remaining = 300ms;
                demand.requestLimit = limit;
                place = co_await instance.queues.enter(instance.plain(), demand);
            },
            asio::detached);
        run();
        return place;
    }
    void run()
    {
        context.restart();
        context.run();
    }

    Core::ManualClock clock;
    asio::io_context context;
    std::vector<std::unique_ptr<Instance>> all;
    unsigned datagrams = 0;
};

} // namespace

TEST_CASE("an engine's queue knows the prompt in progress and how far it is")
{
    Core::ManualClock clock;
    clock.advance(1h);
    EngineQueue queue;
    const auto expiry = clock.now() + 5s;
    queue.add({1, 1}, {10'000, 12'000, false, expiry}, clock.now());
    queue.add({2, 1}, {4'000, 5'000, false, expiry}, clock.now());
    queue.add({2, 2}, {1'000, 1'000, true, expiry}, clock.now());
    queue.add({2, 2}, {1'000, 1'000, true, expiry}, clock.now());
    clock.advance(100ms);
    auto load = queue.load(Rate, clock.now());
    CHECK(load.waitingTokens.all == 10'000);
    CHECK(load.waitingTokens.urgent == 1'000);
    CHECK(load.waitingTokens.ordinaryPrompts == 2);
    CHECK(load.inFlight == 3);
    CHECK(load.memoryTokens == 18'000);
    // The urgent prompt is next, although it arrived last.
    queue.noteFirstToken({1, 1}, clock.now());
    clock.advance(10ms);
    load = queue.load(Rate, clock.now());
    CHECK(load.waitingTokens.urgent == 500);
    CHECK(load.waitingTokens.all == 4'500);
    CHECK(load.inFlight == 3);
    queue.remove({1, 1}, clock.now());
    queue.remove({2, 2}, clock.now());
    queue.remove({2, 2}, clock.now());
    clock.advance(20ms);
    load = queue.load(Rate, clock.now());
    CHECK(load.waitingTokens.all == 3'000);
    CHECK(load.inFlight == 1);
    CHECK(load.memoryTokens == 5'000);
    clock.advance(10s);
    queue.dropExpired(clock.now());
    CHECK(queue.isEmpty());
    CHECK(queue.load(Rate, clock.now()).waitingTokens.all == 0);
}

TEST_CASE("instances that enter a queue at the same time see each other")
{
    Network network(4);
    std::vector<std::unique_ptr<Gateway::QueuePlace>> places;
    for (unsigned n = 0; n < 4; ++n) {
        places.push_back(network.enter(*network.all[n], 0, 8'000));
        REQUIRE(places.back());
        CHECK(network.all[n]->engine()->tokensAhead(false) == n * 8'000);
    }
    places[0]->noteFirstToken();
    places[1].reset();
    network.run();
    places.push_back(network.enter(*network.all[0], 0, 100, true));
    CHECK(network.all[0]->engine()->tokensAhead(false) == 16'000);
    CHECK(network.all[0]->engine()->siblingLoad().inFlight == 3);
    // Another engine's queue is separate.
    places.push_back(network.enter(*network.all[0], 1, 100));
    CHECK(network.all[0]->engine(1)->tokensAhead(false) == 0);
}

TEST_CASE("the own load at an engine does not count twice")
{
    Network network(3);
    auto &instance = *network.all[0];
    const auto place = network.enter(instance, 0, 6'000);
    instance.engine()->noteSent(6'000, false);
    const auto other = network.enter(instance, 0, 1'000);
    CHECK(instance.engine()->tokensAhead(false) == 6'000);
    CHECK(instance.engine()->siblingLoad().inFlight == 0);
}

TEST_CASE("all instances agree on the keeper of an engine, which is in its data centre")
{
    Network network(9);
    std::map<std::string, int> counts;
    for (int engine = 0; engine < 6; ++engine) {
        const auto keeper = network.all[0]->queues.keeperOf(*network.all[0]->engine(engine));
        CHECK(keeper.dataCentre == (engine % 2 ? "north" : "south"));
        ++counts[keeper.instance.value()];
        for (const auto &instance : network.all)
            CHECK(instance->queues.keeperOf(*instance->engine(engine)).instance == keeper.instance);
    }
    CHECK(counts.size() >= 3);
}

TEST_CASE("a silent keeper delays one request and is then passed over for a while")
{
    Network network(4);
    auto &asker = *network.all[1];
    const auto keeper = asker.queues.keeperOf(*asker.engine()).instance;
    for (auto &instance : network.all)
        instance->isSilent = instance->members.self().instance == keeper;
    CHECK_FALSE(network.enter(asker, 0, 1'000));
    CHECK(asker.queues.keeperOf(*asker.engine()).instance != keeper);
    CHECK(network.enter(asker, 0, 1'000));
    network.clock.advance(3s);
    for (auto &instance : network.all) {
        for (auto &other : network.all)
            instance->members.noteDatagram(other->members.self());
    }
    CHECK(asker.queues.keeperOf(*asker.engine()).instance == keeper);
}

TEST_CASE("a prompt costs its keeper four datagrams, however many instances there are")
{
    unsigned before = 0;
    for (const unsigned instances : {4U, 32U, 128U}) {
        Network network(instances);
        auto &asker = *network.all[instances - 1];
        int engine = 0;
        while (asker.queues.keeperOf(*asker.engine(engine)).instance
               == asker.members.self().instance)
            ++engine;
        auto place = network.enter(asker, engine, 1'000);
        place->noteFirstToken();
        network.run();
        place.reset();
        network.run();
        CHECK(network.datagrams == 4);
        CHECK((before == 0 || network.datagrams == before));
        before = network.datagrams;
    }
}

TEST_CASE("a request that finds a plain upstream full does not count there for others")
{
    Network network(6);
    std::vector<std::unique_ptr<Gateway::QueuePlace>> places;
    for (unsigned n = 0; n < 6; ++n) {
        places.push_back(network.enterPlain(*network.all[n], 3));
        REQUIRE(places.back());
        CHECK(places.back()->requestsAhead() == std::min(n, 3U));
    }
    // The refused ones, which have not left yet, are not among the requests ahead.
    CHECK(network.enterPlain(*network.all[0], 4)->requestsAhead() == 3);
    network.run();
    places[1].reset();
    network.run();
    CHECK(network.enterPlain(*network.all[2], 1)->requestsAhead() == 2);
    // An end that is lost counts no longer than the request may take.
    network.clock.advance(301ms);
    CHECK(network.enterPlain(*network.all[5], 1)->requestsAhead() == 0);
}

TEST_CASE("one lost datagram does not split the count of a plain upstream between two keepers")
{
    Network network(4);
    const auto keeper = network.all[0]->queues.keeperOf(*network.all[0]->plain()).instance;
    const auto asker = std::find_if(network.all.begin(), network.all.end(), [&](const auto &it) {
        return it->members.self().instance != keeper;
    });
    auto &instance = **asker;
    for (auto &other : network.all)
        other->isSilent = other->members.self().instance == keeper;
    CHECK_FALSE(network.enterPlain(instance, 6));
    CHECK(instance.queues.keeperOf(*instance.plain()).instance == keeper);
    CHECK_FALSE(network.enterPlain(instance, 6));
    CHECK(instance.queues.keeperOf(*instance.plain()).instance != keeper);
}

TEST_CASE("malformed queue datagrams are ignored")
{
    Network network(2);
    CHECK_FALSE(EngineQueueExchange::isQueueMessage("abc"));
    CHECK_FALSE(EngineQueueExchange::isQueueMessage(std::string(40, 'x')));
    const std::string forged =
        std::string("\xff\xff\xff\x7f", 4) + "JSEQ" + std::string(40, '\xee');
    CHECK(EngineQueueExchange::isQueueMessage(forged));
    network.all[0]->queues.apply(forged, endpoint(1'001));
    CHECK(network.enter(*network.all[0], 0, 100));
}

TEST_CASE("the memory of a running prompt counts for longer than a prompt that is not heard of")
{
    Core::ManualClock clock;
    clock.advance(1h);
    EngineQueue queue;
    for (std::uint64_t number = 1; number <= 2; ++number)
        queue.add({1, number}, {0, 1'000, false, clock.now() + 5s, clock.now() + 12s}, clock.now());
    queue.noteFirstToken({1, 1}, clock.now());
    clock.advance(6s);
    queue.dropExpired(clock.now());
    CHECK(queue.load(Rate, clock.now()).memoryTokens == 1'000);
    clock.advance(6s);
    queue.dropExpired(clock.now());
    CHECK(queue.isEmpty());
}
