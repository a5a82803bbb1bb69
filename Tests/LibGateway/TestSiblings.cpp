#include <LibCore/ManualClock.h>
#include <LibGateway/SiblingExchange.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace std::chrono_literals;

namespace {

Http::Endpoint endpointOf(const std::string &name)
{
    // An arbitrary address that depends on the name.
    return {boost::asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(9'000 + name[0])};
}

struct Instance
{
    explicit Instance(const std::string &name, const std::string &dataCentre = "a",
                      unsigned linkMegabits = 0)
    {
        members = std::make_unique<Gateway::FleetMembers>(
            Gateway::FleetMember {Core::InstanceId(name), dataCentre, endpointOf(name),
                                  linkMegabits},
            clock);
        exchange = std::make_unique<Gateway::SiblingExchange>(
            context, Gateway::SiblingExchange::Dependencies {
                         clock, *members, fleet, stores, weights, poisonNews, nullptr, &teamRoom});
        clock.advance(1h);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("w1");
        report.service = "llm";
        report.weights["m"] = 1;
        fleet.apply(report);
        engine().prefixCache().setCapacity(100'000);
    }

    Gateway::Upstream &engine() const { return *fleet.find(Core::UpstreamId("w1")); }

    boost::asio::io_context context;
    Core::ManualClock clock;
    Gateway::UpstreamFleet fleet;
    Gateway::KvCacheStores stores;
    Gateway::WeightsTargets weights;
    Admission::TeamRoom teamRoom;
    Gateway::PoisonTable poisonParts;
    Gateway::PoisonNews poisonNews {poisonParts, clock};
    std::unique_ptr<Gateway::FleetMembers> members;
    std::unique_ptr<Gateway::SiblingExchange> exchange;
};

} // namespace

TEST_CASE("siblings report loads, cached parts, pauses and weights")
{
    Instance one("one");
    Instance other("other");
    const std::vector<Gateway::PromptPart> parts {{1, 100}, {2, 200}};
    one.engine().noteSent(5'000, true);
    one.exchange->publishWeights(one.engine(), "m", 4);
    one.exchange->publishParts(one.engine(), parts);
    one.exchange->publishPause(one.engine(), 500ms);
    other.exchange->apply(one.exchange->encode());
    CHECK(other.engine().siblingLoad().waitingTokens.all == 5'000);
    CHECK(other.engine().siblingLoad().waitingTokens.urgent == 5'000);
    CHECK(other.engine().siblingLoad().inFlight == 1);
    CHECK(other.engine().weights("m") == 4);
    CHECK(other.engine().prefixCache().cachedTokens(parts) == 300);
    CHECK(other.engine().pausedUntil() == other.clock.now() + 500ms);
    one.engine().noteFirstToken(5'000, true);
    one.engine().noteEnd();
    other.exchange->apply(one.exchange->encode());
    CHECK(other.engine().siblingLoad().inFlight == 0);
}

TEST_CASE("an out-of-order datagram is ignored, and a new incarnation replaces the old loads")
{
    Instance one("one");
    Instance other("other");
    const auto old = one.exchange->encode();
    one.engine().noteSent(1'000, false);
    other.exchange->apply(one.exchange->encode());
    other.exchange->apply(old);
    CHECK(other.engine().siblingLoad().inFlight == 1);
    Instance restarted("one");
    other.exchange->apply(restarted.exchange->encode());
    CHECK(other.engine().siblingLoad().inFlight == 0);
}

TEST_CASE("the load of a silent sibling is dropped, and loads of several siblings add up")
{
    Instance one("one");
    Instance two("two");
    Instance other("other");
    one.engine().noteSent(1'000, false);
    two.engine().noteSent(2'000, true);
    other.exchange->apply(one.exchange->encode());
    other.exchange->apply(two.exchange->encode());
    CHECK(other.engine().siblingLoad().waitingTokens.all == 3'000);
    other.clock.advance(1s);
    other.exchange->apply(two.exchange->encode());
    other.clock.advance(1s);
    other.exchange->dropSilent();
    CHECK(other.engine().siblingLoad().waitingTokens.all == 2'000);
}

TEST_CASE("malformed reports and an instance's own reports are ignored")
{
    Instance one("one");
    one.exchange->apply("");
    one.exchange->apply(std::string(200, '\xff'));
    one.engine().noteSent(1'000, false);
    one.exchange->apply(one.exchange->encode());
    CHECK(one.engine().siblingLoad().inFlight == 0);
    Instance other("other");
    auto cut = one.exchange->encode();
    cut.resize(cut.size() / 2);
    other.exchange->apply(cut);
    CHECK(other.engine().siblingLoad().inFlight == 0);
}

TEST_CASE("a sibling without a record in the journal is known by its datagrams")
{
    Instance one("one");
    Instance other("other");
    CHECK(other.members->count() == 1);
    CHECK(other.members->reachableBefore("any") == 0);
    other.exchange->apply(one.exchange->encode());
    REQUIRE(other.members->count() == 2);
    const auto &sibling = other.members->siblings().begin()->second;
    CHECK(sibling.member.endpoint == endpointOf("one"));
    CHECK(sibling.member.dataCentre == "a");
    CHECK(other.members->isReachable(sibling));
    other.clock.advance(2s);
    CHECK_FALSE(other.members->isReachable(sibling));
    CHECK(other.members->count() == 2);
    // A member that was not seen for a long time has no share of any budget.
    other.clock.advance(60s);
    other.members->dropExpired();
    CHECK(other.members->count() == 1);
}

TEST_CASE("siblings report which KV cache stores answer, and what they hold")
{
    Instance one("one");
    Instance other("other");
    const Gateway::KvCacheStores::StoreConfiguration configuration {endpointOf("store"), 10'000};
    one.stores.configure({configuration});
    other.stores.configure({configuration});
    const auto holder = Gateway::KvCacheStore::holderOf(configuration.endpoint);
    const std::vector<Gateway::PromptPart> parts {{1, 100}, {2, 200}};
    const auto stored = Gateway::KvCacheStore::storedParts(parts, 1);
    one.stores.noteAnswer(holder, 7, one.clock.now());
    one.exchange->publishStoreEpoch(holder, 7);
    one.exchange->publishStoredParts(*one.stores.find(holder), stored);
    other.exchange->apply(one.exchange->encode());
    REQUIRE(other.stores.storeFor(1));
    CHECK(other.stores.storeFor(1)->storedTokens(parts, 1) == 300);
    one.exchange->publishStoreEpoch(holder, 8);
    other.exchange->apply(one.exchange->encode());
    CHECK(other.stores.storeFor(1)->storedTokens(parts, 1) == 0);
}

TEST_CASE("pauses and weights are sent at once, without changing the known loads")
{
    Instance one("one");
    Instance other("other");
    one.engine().noteSent(5'000, true);
    other.exchange->apply(one.exchange->encode());
    one.exchange->publishPause(one.engine(), 500ms);
    one.exchange->publishWeights(one.engine(), "m", 4);
    const auto urgent = one.exchange->encodeUrgent();
    CHECK(urgent.size() < 300);
    other.exchange->apply(urgent);
    CHECK(other.engine().pausedUntil() == other.clock.now() + 500ms);
    CHECK(other.engine().weights("m") == 4);
    CHECK(other.engine().siblingLoad().inFlight == 1);
    // A report of another sibling, which recomputes the sums, does not change them either.
    other.exchange->apply(Instance("two").exchange->encode());
    CHECK(other.engine().siblingLoad().inFlight == 1);
    // The next full report repeats them for siblings that missed the first datagram.
    Instance third("third");
    third.exchange->apply(one.exchange->encode());
    CHECK(third.engine().pausedUntil() == third.clock.now() + 500ms);
    CHECK(third.engine().weights("m") == 4);
    CHECK(third.engine().siblingLoad().inFlight == 1);
    // Later reports do not repeat them.
    third.clock.advance(1s);
    const auto before = third.engine().pausedUntil();
    third.exchange->apply(one.exchange->encode());
    CHECK(third.engine().pausedUntil() == before);
}

TEST_CASE("in a large fleet hubs forward the sums of data centres, and each is counted once")
{
    // Two instances of each data centre exchange reports; many more only announced themselves.
    Instance northHub("north", "n", 200);
    Instance northMember("onother", "n", 10);
    Instance southHub("south", "s", 200);
    Instance southMember("touther", "s", 10);
    const auto all = {&northHub, &northMember, &southHub, &southMember};
    for (auto *instance : all) {
        for (int n = 0; n < 20; ++n)
            instance->members->noteAnnounced(
                {Core::InstanceId("quiet-" + std::to_string(n)), n % 2 == 0 ? "n" : "s", {}, 500});
    }
    northHub.engine().noteSent(1'000, true);
    northMember.engine().noteSent(2'000, true);
    southHub.engine().noteSent(4'000, true);
    southMember.engine().noteSent(8'000, true);
    const std::vector<Gateway::PromptPart> parts {{1, 100}};
    northMember.exchange->publishParts(northMember.engine(), parts);
    const auto sendReport = [](Instance &one, Instance &other) {
        const auto report = one.exchange->encode();
        other.exchange->apply(report);
    };
    sendReport(northHub, northMember);
    sendReport(northMember, northHub);
    sendReport(southHub, southMember);
    sendReport(southMember, southHub);
    CHECK(northHub.members->isLarge());
    // Members that never sent a datagram are not hubs, however fast their links are.
    CHECK(northHub.members->isHub());
    CHECK_FALSE(northMember.members->isHub());
    CHECK(southHub.members->isHub());
    for (int round = 0; round < 3; ++round) {
        southHub.exchange->apply(northHub.exchange->encodeDataCentre());
        northHub.exchange->apply(southHub.exchange->encodeDataCentre());
        southMember.exchange->apply(southHub.exchange->encodeRemoteSum());
        northMember.exchange->apply(northHub.exchange->encodeRemoteSum());
    }
    for (auto *instance : all)
        CHECK(instance->engine().tokensAhead(false) == 15'000);
    // A sum that a former hub still forwards is not counted twice.
    southMember.exchange->apply(northHub.exchange->encodeDataCentre());
    CHECK(southMember.engine().tokensAhead(false) == 15'000);
    southHub.exchange->apply(southMember.exchange->encodeRemoteSum());
    southHub.exchange->apply(southHub.exchange->encodeDataCentre());
    CHECK(southHub.engine().tokensAhead(false) == 15'000);
    CHECK(southMember.engine().prefixCache().cachedTokens(parts) == 100);
}

TEST_CASE("teams' demands are added up over data centres, and dropped with a silent sibling")
{
    // Guards against counting a team twice that two hubs or two datagrams report.
    Instance northHub("north", "n", 200);
    Instance northMember("onother", "n", 10);
    Instance southHub("south", "s", 200);
    const auto all = {&northHub, &northMember, &southHub};
    for (auto *instance : all)
        instance->teamRoom.noteAsked("llm", "a", 6'000, instance->clock.now());
    northMember.teamRoom.noteAdmitted("llm", "a", 3'000, northMember.clock.now());
    const auto unit = southHub.teamRoom.ownRates(1, southHub.clock.now()).at(0).askedPerSecond;
    const auto standing = [](Instance &instance) {
        return instance.teamRoom.standing("llm", "a", instance.clock.now());
    };
    const auto report = northMember.exchange->encode();
    northHub.exchange->apply(report);
    northHub.exchange->apply(report);
    CHECK(standing(northHub).askedPerSecond == Approx(2 * unit).epsilon(0.001));
    CHECK(standing(northHub).admittedPerSecond == Approx(unit / 2).epsilon(0.001));
    southHub.exchange->apply(northHub.exchange->encodeDataCentre());
    CHECK(standing(southHub).askedPerSecond == Approx(3 * unit).epsilon(0.001));
    northHub.exchange->apply(southHub.exchange->encodeDataCentre());
    northMember.exchange->apply(northHub.exchange->encode());
    northMember.exchange->apply(northHub.exchange->encodeRemoteSum());
    northMember.clock.advance(100ms);
    CHECK(standing(northMember).askedPerSecond == Approx(3 * unit).epsilon(0.02));
    CHECK(standing(northMember).reportAge == 100ms);
    northMember.clock.advance(2s);
    northMember.exchange->dropSilent();
    CHECK(standing(northMember).askedPerSecond < unit);
    CHECK_FALSE(standing(northMember).reportAge);
}

TEST_CASE("a report has the largest demands of teams only")
{
    Instance one("one");
    Instance other("other");
    const auto empty = one.exchange->encode().size();
    for (int n = 1; n <= 1'000; ++n)
        one.teamRoom.noteAsked("llm", std::to_string(n), 600 * n, one.clock.now());
    const auto report = one.exchange->encode();
    CHECK(report.size() < empty + 128 * 24 + 64);
    other.teamRoom.noteAsked("llm", "own", 1, other.clock.now());
    other.exchange->apply(report);
    CHECK(other.teamRoom.standing("llm", "1000", other.clock.now()).askedPerSecond > 0);
    CHECK(other.teamRoom.standing("llm", "800", other.clock.now()).askedPerSecond == 0);
}

TEST_CASE("the next fastest instance becomes the hub when the hub goes silent")
{
    Instance hub("hub", "n", 200);
    Instance other("other", "n", 10);
    other.exchange->apply(hub.exchange->encode());
    CHECK_FALSE(other.members->isHub());
    other.clock.advance(2s);
    CHECK(other.members->isHub());
}

TEST_CASE("an upstream that two instances cannot reach is paused at all instances")
{
    Instance one("one");
    Instance two("two");
    Instance other("other");
    one.exchange->publishUnreachable(one.engine());
    other.exchange->apply(one.exchange->encodeUrgent());
    // A single instance may itself be disconnected, however often it reports the upstream.
    one.exchange->publishUnreachable(one.engine());
    other.exchange->apply(one.exchange->encodeUrgent());
    CHECK(other.engine().pausedUntil() <= other.clock.now());
    two.exchange->publishUnreachable(two.engine());
    other.exchange->apply(two.exchange->encodeUrgent());
    CHECK(other.engine().pausedUntil() == other.clock.now() + Gateway::Upstream::UnreachablePause);
    // An old report does not count as confirmation.
    other.clock.advance(10s);
    one.exchange->publishUnreachable(one.engine());
    other.exchange->apply(one.exchange->encodeUrgent());
    CHECK(other.engine().pausedUntil() < other.clock.now());
}

TEST_CASE("an instance that starts uses old weights for no longer than its siblings")
{
    using Evidence = Gateway::WeightsTargets::Evidence;
    Instance sibling("one");
    Instance starting("other");
    const auto named = sibling.clock.now();
    sibling.weights.addTarget("m", {2, named, named});
    sibling.clock.advance(4s);
    starting.clock.advance(4s);
    const auto now = starting.clock.now();
    starting.weights.addTarget("m", {2, now - 1s, now, Evidence::Assumed});
    const auto report = sibling.exchange->encode();
    starting.exchange->apply(report);
    CHECK(starting.weights.outdatedSince("m", 1) == named);
    // A datagram that arrives late makes nothing younger.
    starting.clock.advance(10s);
    sibling.clock.advance(1ms);
    starting.exchange->apply(sibling.exchange->encode());
    CHECK(starting.weights.outdatedSince("m", 1) == named);
    // An assumption is not passed on, and does not replace what an instance has read.
    Instance third("third");
    third.weights.addTarget("m", {2, named - 3s, named, Evidence::Assumed});
    sibling.exchange->apply(third.exchange->encode());
    CHECK(sibling.weights.outdatedSince("m", 1) == named);
}

TEST_CASE("an instance that starts uses no old weights for longer when two versions were named")
{
    using Evidence = Gateway::WeightsTargets::Evidence;
    Instance sibling("one");
    Instance starting("other");
    const auto named = sibling.clock.now();
    sibling.weights.addTarget("m", {2, named, named});
    for (auto *instance : {&sibling, &starting})
        instance->clock.advance(5s);
    sibling.weights.addTarget("m", {3, sibling.clock.now(), sibling.clock.now()});
    // The log keeps only the newest record of a key, so version 2 is not in what it reads.
    const auto now = starting.clock.now();
    starting.weights.addTarget("m", {3, now - 3s, now, Evidence::Assumed});
    starting.exchange->apply(sibling.exchange->encode());
    CHECK(starting.weights.outdatedSince("m", 1) == named);
    CHECK(starting.weights.outdatedSince("m", 2) == now);
    // A version that this instance has not read is not a target.
    Instance behind("behind");
    behind.clock.advance(5s);
    behind.weights.addTarget("m", {2, named, named});
    behind.exchange->apply(sibling.exchange->encode());
    CHECK(behind.weights.newest().at("m").version == 2);
}
