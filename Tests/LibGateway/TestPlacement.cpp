#include <LibCore/ManualClock.h>
#include <LibGateway/UpstreamChooser.h>
#include <LibGateway/Urgency.h>
#include <LibHttp/Endpoint.h>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using Gateway::EngineDemand;
using Gateway::EngineModel;
using Gateway::PromptPart;

namespace {

struct Fixture
{
    Core::ManualClock clock;
    Gateway::UpstreamFleet fleet;
    EngineModel model;
    std::vector<PromptPart> parts {{11, 500}, {12, 4'500}, {13, 6'000}};
    EngineDemand demand;
    Gateway::ChoiceLimits limits;

    Fixture()
    {
        clock.advance(1h);
        demand.parts = parts;
        demand.promptTokens = 11'000;
        demand.sharedTokens = 5'000;
        demand.affinityKey = 12;
        demand.model = "m";
        demand.slots = 32;
        demand.fetchTokensPerMillisecond = 500;
        limits.maxInFlight = 32;
        limits.now = clock.now();
        for (int n = 0; n < 6; ++n)
            add("w" + std::to_string(n));
    }

    Gateway::Upstream &add(const std::string &id, std::uint64_t weights = 1)
    {
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId(id);
        report.service = "llm";
        report.slots = 32;
        report.weights["m"] = weights;
        fleet.apply(report);
        auto &upstream = *fleet.find(report.id);
        upstream.prefixCache().setCapacity(200'000);
        return upstream;
    }

    Gateway::Upstream &engine(const std::string &id) const
    {
        return *fleet.find(Core::UpstreamId(id));
    }

    std::optional<Gateway::EngineChoice> choose() const
    {
        return chooseEngine(fleet.members("llm"), model, demand, limits);
    }
    std::string chosen() const { return choose()->upstream->report().id.value(); }
};

} // namespace

TEST_CASE("all instances send the requests of a session to the same engine")
{
    Fixture one;
    Fixture other;
    CHECK(one.chosen() == other.chosen());
    std::map<std::string, int> preferredUpstreams;
    for (std::uint64_t session = 0; session < 300; ++session) {
        one.demand.affinityKey = session;
        ++preferredUpstreams[one.chosen()];
    }
    CHECK(preferredUpstreams.size() == 6);
}

TEST_CASE("an engine that has cached the shared parts is preferred until its queue is much longer")
{
    Fixture fixture;
    auto &cachedEngine = fixture.engine(fixture.chosen() == "w0" ? "w1" : "w0");
    cachedEngine.noteCached(std::span(fixture.parts).first(2));
    CHECK(fixture.chosen() == cachedEngine.report().id.value());
    CHECK(fixture.choose()->cachedTokens == 5'000);
    cachedEngine.noteSent(60'000, true);
    const auto alternative = fixture.choose();
    CHECK(alternative->upstream->report().id != cachedEngine.report().id);
    // The parts are fetched from the engine that has them instead of being prefilled again.
    CHECK(alternative->source->report().id == cachedEngine.report().id);
    CHECK(alternative->readyTokens == 5'000);
}

TEST_CASE(
    "parts that no engine is known to have are fetched from the preferred engine or the store")
{
    Fixture fixture;
    const auto preferred = fixture.chosen();
    // The preferred engine itself has no other source while there is no store.
    CHECK_FALSE(fixture.choose()->source);
    CHECK_FALSE(fixture.choose()->isFromStore);
    Gateway::KvCacheStore store(Http::parseEndpoint("127.0.0.1:9").value());
    store.noteAnswer(1);
    fixture.demand.store = &store;
    CHECK(fixture.choose()->isFromStore);
    fixture.engine(preferred).noteSent(60'000, true);
    const auto alternative = fixture.choose();
    REQUIRE(alternative->source);
    CHECK(alternative->source->report().id.value() == preferred);
    CHECK_FALSE(alternative->isFromStore);
    // A speculative source does not reduce the expected prefill.
    CHECK(alternative->readyTokens == 0);
    // Too few tokens to be worth a fetch.
    fixture.demand.sharedTokens = 100;
    CHECK_FALSE(fixture.choose()->source);
}

TEST_CASE(
    "parts are not fetched from a preferred engine that has other weights or fails its requests")
{
    Fixture fixture;
    const auto preferred = fixture.chosen();
    fixture.engine(preferred).noteSent(60'000, true);
    REQUIRE(fixture.choose()->source);
    for (int n = 0; n < 8; ++n)
        fixture.engine(preferred).noteOutcome(false, fixture.limits.now);
    CHECK_FALSE(fixture.choose()->source);
    Fixture other;
    other.engine(preferred).noteSent(60'000, true);
    other.engine(preferred).noteWeights("m", 2);
    CHECK_FALSE(other.choose()->source);
}

TEST_CASE("parts are never fetched from an engine with other weights or one that fails")
{
    Fixture fixture;
    auto &cachedEngine = fixture.engine("w0");
    cachedEngine.noteCached(std::span(fixture.parts).first(2));
    fixture.limits.excluded.insert(cachedEngine.report().id);
    CHECK(fixture.choose()->source);
    for (int n = 0; n < 8; ++n)
        cachedEngine.noteOutcome(false, fixture.limits.now);
    CHECK_FALSE(fixture.choose()->source);
    Fixture other;
    auto &newer = other.add("new", 2);
    newer.noteCached(std::span(other.parts).first(2));
    other.limits.excluded.insert(newer.report().id);
    CHECK_FALSE(other.choose()->source);
}

TEST_CASE("draining, paused, full and long outdated engines receive no new requests")
{
    Fixture fixture;
    const auto first = fixture.chosen();
    auto &upstream = fixture.engine(first);
    upstream.pauseUntil(fixture.limits.now + 1s);
    CHECK(fixture.chosen() != first);
    upstream.pauseUntil(fixture.limits.now);
    CHECK(fixture.chosen() == first);
    fixture.limits.maxInFlight = 1;
    upstream.noteSent(0, false);
    CHECK(fixture.chosen() != first);
    upstream.noteEnd();
    auto report = upstream.report();
    report.isDraining = true;
    fixture.fleet.apply(report);
    CHECK(fixture.chosen() != first);
    Gateway::WeightsTargets targets;
    targets.addTarget("m", {2, fixture.clock.now(), fixture.clock.now()});
    fixture.demand.targets = &targets;
    fixture.demand.maxOutdatedTime = 4'000ms;
    CHECK(fixture.choose().has_value());
    fixture.limits.now += 5s;
    CHECK_FALSE(fixture.choose().has_value());
    fixture.add("new", 2);
    CHECK(fixture.chosen() == "new");
}

TEST_CASE(
    "a prompt is not sent where the queue outlasts the time for which old weights may be used")
{
    Fixture fixture;
    Gateway::WeightsTargets targets;
    targets.addTarget("m", {2, fixture.clock.now(), fixture.clock.now()});
    fixture.demand.targets = &targets;
    fixture.demand.maxOutdatedTime = 5'700ms;
    fixture.limits.now += 3s;
    const auto waiting = static_cast<std::uint64_t>(3'000 * fixture.model.tokensPerMillisecond());
    for (const auto &engine : fixture.fleet.members("llm"))
        engine->noteSent(waiting, false);
    CHECK_FALSE(fixture.choose().has_value());
    // An engine without a queue can begin in time.
    fixture.add("idle", 1);
    CHECK(fixture.chosen() == "idle");
}

TEST_CASE("a long prompt is not refused by all engines just because new weights were named")
{
    Fixture fixture;
    Gateway::WeightsTargets targets;
    targets.addTarget("m", {2, fixture.clock.now(), fixture.clock.now()});
    fixture.demand.targets = &targets;
    fixture.demand.maxOutdatedTime = 5'700ms;
    // The engines are idle and prefill for three seconds.
    fixture.demand.promptTokens =
        static_cast<unsigned>(3'000 * fixture.model.tokensPerMillisecond());
    CHECK(fixture.choose().has_value());
    // It would not begin in time.
    fixture.limits.now += 3s;
    CHECK_FALSE(fixture.choose().has_value());
}

TEST_CASE("urgent prompts precede waiting ones but not the one that is being prefilled")
{
    Fixture fixture;
    for (const auto &member : fixture.fleet.members("llm"))
        member->noteSent(20'000, false);
    const auto behindOne = fixture.choose()->expectedWait;
    fixture.demand.isUrgent = true;
    CHECK(fixture.choose()->expectedWait == behindOne);
    for (const auto &member : fixture.fleet.members("llm")) {
        member->noteSent(20'000, false);
        member->noteSent(20'000, false);
    }
    CHECK(fixture.choose()->expectedWait == behindOne);
    fixture.demand.isUrgent = false;
    CHECK(fixture.choose()->expectedWait.count() == Approx(3 * behindOne.count()));
    // The other instances' prompts count in the same way.
    Fixture other;
    for (const auto &member : other.fleet.members("llm"))
        member->setSiblingLoad({{60'000, 0, 3}, 3, 0});
    other.demand.isUrgent = true;
    CHECK(other.choose()->expectedWait.count() == Approx(behindOne.count()));
    for (const auto &member : other.fleet.members("llm"))
        member->noteSent(9'000, true);
    CHECK(other.choose()->expectedWait.count() == Approx(behindOne.count() * 29 / 20));
}

TEST_CASE("load from siblings counts like load from this instance")
{
    Fixture fixture;
    const auto first = fixture.chosen();
    fixture.engine(first).setSiblingLoad({{80'000, 0, 4}, 10, 0});
    CHECK(fixture.chosen() != first);
}

TEST_CASE("parts come from the store while its link is free, and from engines while it is not")
{
    Fixture fixture;
    Gateway::KvCacheStore store(Http::parseEndpoint("127.0.0.1:9").value());
    store.noteAnswer(1);
    const auto shared = std::span(fixture.parts).first(2);
    store.noteStored(Gateway::KvCacheStore::storedParts(shared, 1));
    fixture.demand.store = &store;
    fixture.demand.storeTokensPerMillisecond = 250;
    store.transfers().setRate(25, fixture.limits.now);
    auto &holder = fixture.engine("w0");
    holder.noteCached(shared);
    holder.noteSent(80'000, true);
    CHECK(fixture.choose()->isFromStore);
    // 4 seconds of transfers are queued.
    store.transfers().add(100'000, fixture.limits.now);
    CHECK(fixture.choose()->source == fixture.fleet.find(Core::UpstreamId("w0")));
    holder.prefixCache().clear();
    CHECK(fixture.choose()->readyTokens == 0);
    fixture.limits.now += 5s;
    CHECK(fixture.choose()->isFromStore);
}

TEST_CASE("long prefills and running streams use different engines while pauses matter")
{
    Fixture fixture;
    fixture.parts = {{13, 11'000}};
    fixture.demand.parts = fixture.parts;
    fixture.demand.sharedTokens = 0;
    fixture.demand.pauseTarget = 400ms;
    const auto usedBy = [&fixture](unsigned tokens) {
        std::map<std::string, int> engines;
        fixture.demand.promptTokens = tokens;
        for (std::uint64_t session = 0; session < 60; ++session) {
            fixture.demand.affinityKey = session;
            ++engines[fixture.chosen()];
        }
        return engines;
    };
    // Prefill does not interrupt streams noticeably, so any engine will do.
    for (int n = 0; n < 300; ++n)
        fixture.model.addPause(EngineModel::Milliseconds(90));
    CHECK(fixture.choose().has_value());
    const auto before = fixture.choose()->upstream;
    before->noteSent(0, true);
    CHECK(fixture.choose()->upstream == before);
    before->noteEnd();
    for (int n = 0; n < 100; ++n)
        fixture.model.addPause(EngineModel::Milliseconds(480));
    const auto longOnes = usedBy(11'000);
    const auto shortOnes = usedBy(600);
    for (const auto &[id, count] : longOnes)
        CHECK_FALSE(shortOnes.contains(id));
    // A stream that runs at the engine of the long prompts drives them away.
    auto &crowded = fixture.engine(longOnes.begin()->first);
    for (int n = 0; n < 8; ++n) {
        crowded.noteSent(0, true);
        crowded.noteFirstToken(0, true);
    }
    crowded.noteSent(8'000, false);
    CHECK_FALSE(usedBy(11'000).contains(longOnes.begin()->first));
}

TEST_CASE("instances with the same reports choose different engines, unless one is clearly better")
{
    Fixture fixture;
    fixture.demand.promptTokens = 600;
    fixture.demand.sharedTokens = 0;
    std::minstd_rand random(3);
    fixture.limits.random = &random;
    fixture.limits.instances = 40;
    std::map<std::string, int> counts;
    for (int n = 0; n < 120; ++n)
        ++counts[fixture.chosen()];
    CHECK(counts.size() == 6);
    for (const auto &[id, count] : counts)
        CHECK(count < 40);
    for (const auto &member : fixture.fleet.members("llm")) {
        if (member->report().id.value() != "w4")
            member->noteSent(4'000, true);
    }
    for (int n = 0; n < 120; ++n)
        CHECK(fixture.chosen() == "w4");
}

TEST_CASE("a failing engine is avoided, and tried again after a while")
{
    Fixture fixture;
    const auto first = fixture.chosen();
    for (int n = 0; n < 6; ++n)
        fixture.engine(first).noteOutcome(false, fixture.limits.now);
    CHECK(fixture.chosen() != first);
    fixture.limits.now += 30s;
    CHECK(fixture.chosen() == first);
}

TEST_CASE("an upstream that did not answer receives one request at a time until it does")
{
    Fixture fixture;
    const auto first = fixture.chosen();
    auto &upstream = fixture.engine(first);
    upstream.noteUnreachable(fixture.limits.now);
    // A second request that was lost with the first one does not lengthen the pause.
    upstream.noteUnreachable(fixture.limits.now);
    CHECK(fixture.chosen() != first);
    CHECK(upstream.pausedUntil() == fixture.limits.now + 1s);
    fixture.limits.now += 1s;
    CHECK(fixture.chosen() == first);
    upstream.noteSent(0, true);
    CHECK(fixture.chosen() != first);
    upstream.noteEnd();
    upstream.noteUnreachable(fixture.limits.now);
    CHECK(upstream.pausedUntil() == fixture.limits.now + 2s);
    for (int n = 0; n < 5; ++n) {
        fixture.limits.now = upstream.pausedUntil();
        upstream.noteUnreachable(fixture.limits.now);
    }
    CHECK(upstream.pausedUntil() == fixture.limits.now + 4s);
    fixture.limits.now = upstream.pausedUntil();
    upstream.noteReached();
    upstream.noteSent(0, true);
    CHECK(fixture.chosen() == first);
}

TEST_CASE("requests without a prompt are spread by load, and failing upstreams are avoided")
{
    Fixture fixture;
    std::minstd_rand random(1);
    std::map<std::string, int> counts;
    for (int n = 0; n < 60; ++n) {
        const auto upstream =
            chooseLeastLoaded(fixture.fleet.members("llm"), fixture.limits, random);
        upstream->noteSent(0, false);
        ++counts[upstream->report().id.value()];
    }
    for (const auto &[id, count] : counts)
        CHECK(count == 10);
    fixture.engine("w3").noteOutcome(false, fixture.limits.now);
    fixture.limits.maxInFlight = 100;
    for (int n = 0; n < 20; ++n)
        CHECK(chooseLeastLoaded(fixture.fleet.members("llm"), fixture.limits, random)->report().id
              != Core::UpstreamId("w3"));
}

TEST_CASE("the prefill rate follows the faster answers, and short prompts are ignored")
{
    EngineModel model;
    const auto before = model.tokensPerMillisecond();
    model.addSample(300, EngineModel::Milliseconds(500));
    CHECK(model.tokensPerMillisecond() == before);
    for (int n = 0; n < 100; ++n) {
        model.addSample(8'500, EngineModel::Milliseconds(110));
        if (n % 3 == 0)
            model.addSample(8'500, EngineModel::Milliseconds(1'000));
    }
    CHECK(model.tokensPerMillisecond() > 70);
    CHECK(model.tokensPerMillisecond() < 90);
}

TEST_CASE("ordinary prompts are expected to wait longer while urgent ones overtake them")
{
    EngineModel model;
    for (int n = 0; n < 200; ++n)
        model.addOrdinaryWait(100 * model.ordinaryWaitFactor() * EngineModel::Milliseconds(1),
                              EngineModel::Milliseconds(250));
    CHECK(model.ordinaryWaitFactor() == Approx(2.5).epsilon(0.05));
    // Short waits say nothing.
    for (int n = 0; n < 200; ++n)
        model.addOrdinaryWait(EngineModel::Milliseconds(10), EngineModel::Milliseconds(1));
    CHECK(model.ordinaryWaitFactor() == Approx(2.5).epsilon(0.05));
    for (int n = 0; n < 200; ++n)
        model.addOrdinaryWait(EngineModel::Milliseconds(100), EngineModel::Milliseconds(10));
    CHECK(model.ordinaryWaitFactor() == 1);
    Fixture fixture;
    for (int n = 0; n < 200; ++n)
        fixture.model.addOrdinaryWait(EngineModel::Milliseconds(100),
                                      EngineModel::Milliseconds(400));
    for (const auto &member : fixture.fleet.members("llm"))
        member->noteSent(10'000, true);
    const auto ordinary = fixture.choose()->expectedWait;
    fixture.demand.isUrgent = true;
    CHECK(ordinary > 2 * fixture.choose()->expectedWait);
}

TEST_CASE("a team's priority overrides its route's, and requests in time precede late ones")
{
    Gateway::Route first;
    first.priority = 0;
    Gateway::Route second;
    second.priority = 2;
    Gateway::Tenant tenant;
    CHECK(urgencyLevel(first, nullptr, false) < urgencyLevel(first, nullptr, true));
    CHECK(urgencyLevel(first, nullptr, true) < urgencyLevel(second, &tenant, false));
    tenant.priority = 1;
    CHECK(urgencyLevel(first, &tenant, false) > urgencyLevel(first, nullptr, true));
    CHECK(urgencyLevel(first, &tenant, false) < urgencyLevel(second, &tenant, false));
    CHECK(isUrgent(first, &tenant));
    CHECK_FALSE(isUrgent(second, &tenant));
    tenant.priority = 0;
    CHECK(isUrgent(second, &tenant));
    tenant.priority = 40;
    CHECK(urgencyLevel(second, &tenant, true) == 9);
}

TEST_CASE("an engine without memory for the prompt is chosen only if none has any")
{
    Fixture fixture;
    const Capacity::EngineMemory memory;
    fixture.demand.memoryTokens = 12'000;
    fixture.demand.memoryCapacity = 100'000;
    fixture.demand.memory = &memory;
    const auto first = fixture.chosen();
    fixture.engine(first).reserveMemory(50'000);
    CHECK(fixture.chosen() == first);
    // What other instances have sent counts like the own requests.
    fixture.engine(first).setSiblingLoad({{}, 0, 33'001});
    CHECK(fixture.chosen() != first);
    CHECK(fixture.choose()->memoryWait.count() == 0);
    for (const auto &engine : fixture.fleet.members("llm"))
        engine->setSiblingLoad({{}, 0, 95'000});
    const auto full = fixture.choose();
    CHECK(full->memoryWait.count() > 0);
    CHECK(full->expectedWait >= full->memoryWait);
    // Its own requests fill the first one further, so another has room earlier.
    CHECK(full->upstream->report().id.value() != first);
    fixture.demand.memory = nullptr;
    CHECK(fixture.choose()->memoryWait.count() == 0);
}
