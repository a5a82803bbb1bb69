#include <LibCore/ManualClock.h>
#include <LibGateway/CacheSnapshot.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/PrefixCacheEstimate.h>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using Gateway::PromptPart;

TEST_CASE("parts count as cached only together with all parts before them")
{
    Gateway::PrefixCacheEstimate prefixCache;
    prefixCache.setCapacity(1'000);
    const std::vector<PromptPart> parts {{1, 100}, {2, 200}, {3, 300}};
    prefixCache.noteUse(std::span(parts).subspan(1));
    CHECK(prefixCache.cachedTokens(parts) == 0);
    prefixCache.noteUse(std::span(parts).first(1));
    CHECK(prefixCache.cachedTokens(parts) == 600);
    prefixCache.clear();
    CHECK(prefixCache.cachedTokens(parts) == 0);
    CHECK(prefixCache.tokens() == 0);
}

TEST_CASE(
    "the least recently used parts are evicted first, and never before the parts that follow them")
{
    Gateway::PrefixCacheEstimate prefixCache;
    prefixCache.setCapacity(500);
    const std::vector<PromptPart> old {{1, 200}, {2, 200}};
    const std::vector<PromptPart> fresh {{3, 200}};
    prefixCache.noteUse(old);
    prefixCache.noteUse(fresh);
    CHECK(prefixCache.cachedTokens(old) == 200);
    CHECK(prefixCache.cachedTokens(fresh) == 200);
    prefixCache.noteUse(std::span(old).first(1));
    prefixCache.noteUse(std::vector<PromptPart> {{4, 200}});
    CHECK(prefixCache.cachedTokens(old) == 200);
    CHECK(prefixCache.cachedTokens(fresh) == 0);
}

TEST_CASE("a KV cache store counts only while it answers, and is empty after a restart")
{
    Gateway::KvCacheStore store(Http::parseEndpoint("127.0.0.1:9").value());
    store.setCapacity(10'000);
    const std::vector<PromptPart> parts {{1, 100}, {2, 200}};
    CHECK_FALSE(store.isAnswering());
    CHECK(store.noteAnswer(7));
    store.noteStored(Gateway::KvCacheStore::storedParts(parts, 3));
    CHECK(store.storedTokens(parts, 3) == 300);
    // Parts computed with other weights are distinct.
    CHECK(store.storedTokens(parts, 4) == 0);
    CHECK(store.noteSilence());
    CHECK(store.storedTokens(parts, 3) == 0);
    CHECK_FALSE(store.isAnswering());
    CHECK(store.noteAnswer(7));
    CHECK(store.storedTokens(parts, 3) == 300);
    CHECK(store.noteAnswer(8));
    CHECK(store.storedTokens(parts, 3) == 0);
}

TEST_CASE("each session uses one of several stores, and another while that one does not answer")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Gateway::KvCacheStores stores;
    CHECK(stores.storeFor(1) == nullptr);
    std::vector<Gateway::KvCacheStores::StoreConfiguration> places;
    for (int n = 1; n <= 3; ++n)
        places.push_back(
            {Http::parseEndpoint("10.0.0." + std::to_string(n) + ":9").value(), 9'000});
    stores.configure(places);
    CHECK(stores.storeFor(1) == nullptr);
    for (const auto &place : places)
        CHECK(stores.noteAnswer(Gateway::KvCacheStore::holderOf(place.endpoint), 5, clock.now()));
    std::map<std::uint64_t, int> sessions;
    for (std::uint64_t session = 0; session < 300; ++session)
        ++sessions[stores.storeFor(session)->holder()];
    REQUIRE(sessions.size() == 3);
    for (const auto &[holder, count] : sessions)
        CHECK(count > 60);

    const auto first = stores.storeFor(1)->holder();
    clock.advance(3s);
    for (const auto &place : places) {
        const auto holder = Gateway::KvCacheStore::holderOf(place.endpoint);
        if (holder != first)
            stores.noteAnswer(holder, 5, clock.now());
    }
    CHECK(stores.dropSilent(2s, clock.now()) == std::vector {first});
    CHECK(stores.storeFor(1)->holder() != first);
    CHECK(stores.noteAnswer(first, 5, clock.now()));
    CHECK(stores.storeFor(1)->holder() == first);
}

TEST_CASE("a store that stays configured keeps its cache estimate")
{
    Core::ManualClock clock;
    Gateway::KvCacheStores stores;
    const Gateway::KvCacheStores::StoreConfiguration one {Http::parseEndpoint("10.0.0.1:9").value(),
                                                          9'000};
    const Gateway::KvCacheStores::StoreConfiguration other {
        Http::parseEndpoint("10.0.0.2:9").value(), 9'000};
    stores.configure({one});
    stores.noteAnswer(Gateway::KvCacheStore::holderOf(one.endpoint), 5, clock.now());
    const std::vector<PromptPart> parts {{1, 100}};
    stores.storeFor(1)->noteStored(Gateway::KvCacheStore::storedParts(parts, 3));
    stores.configure({one, other});
    CHECK(stores.storeFor(1)->storedTokens(parts, 3) == 100);
    stores.configure({other});
    CHECK(stores.storeFor(1) == nullptr);
}

TEST_CASE("a starting instance applies a snapshot of the cache estimates")
{
    const auto report = [](const std::string &id, std::uint64_t weights, std::int64_t startTime) {
        Gateway::UpstreamReport upstream;
        upstream.id = Core::UpstreamId(id);
        upstream.service = "llm";
        upstream.weights["m"] = weights;
        upstream.startTime = std::chrono::milliseconds(startTime);
        return upstream;
    };
    const std::vector<PromptPart> parts {{1, 100}, {2, 200}};
    const Gateway::KvCacheStores::StoreConfiguration place {
        Http::parseEndpoint("10.0.0.1:9").value(), 9'000};
    const auto holder = Gateway::KvCacheStore::holderOf(place.endpoint);
    Core::ManualClock clock;
    Gateway::UpstreamFleet fleet;
    Gateway::KvCacheStores stores;
    stores.configure({place});
    CHECK(encodeCacheSnapshot(fleet, stores).empty());
    for (const auto *id : {"same", "restarted", "reloaded"}) {
        fleet.apply(report(id, 3, 50));
        fleet.find(Core::UpstreamId(id))->noteCached(parts);
    }
    stores.noteAnswer(holder, 7, clock.now());
    stores.find(holder)->noteStored(Gateway::KvCacheStore::storedParts(parts, 3));
    const auto snapshot = encodeCacheSnapshot(fleet, stores);

    Gateway::UpstreamFleet fresh;
    Gateway::KvCacheStores freshStores;
    freshStores.configure({place});
    freshStores.noteAnswer(holder, 7, clock.now());
    fresh.apply(report("same", 3, 50));
    fresh.apply(report("restarted", 3, 51));
    fresh.apply(report("reloaded", 4, 50));
    CHECK(applyCacheSnapshot(snapshot, fresh, freshStores) == 4);
    CHECK(fresh.find(Core::UpstreamId("same"))->prefixCache().cachedTokens(parts) == 300);
    CHECK(fresh.find(Core::UpstreamId("restarted"))->prefixCache().cachedTokens(parts) == 0);
    CHECK(fresh.find(Core::UpstreamId("reloaded"))->prefixCache().cachedTokens(parts) == 0);
    CHECK(freshStores.find(holder)->storedTokens(parts, 3) == 300);

    // A store that restarted has none of the parts.
    Gateway::KvCacheStores emptied;
    emptied.configure({place});
    emptied.noteAnswer(holder, 8, clock.now());
    applyCacheSnapshot(snapshot, Gateway::UpstreamFleet(), emptied);
    CHECK(emptied.find(holder)->storedTokens(parts, 3) == 0);
    CHECK(applyCacheSnapshot("no snapshot", fresh, freshStores) == 0);
    CHECK(applyCacheSnapshot(std::string_view(snapshot).substr(0, snapshot.size() / 2), fresh,
                             freshStores)
          == 0);
}

TEST_CASE(
    "a snapshot of a large fleet fits into a log record and has the newest parts of each engine")
{
    Gateway::UpstreamFleet fleet;
    for (int n = 0; n < 100; ++n) {
        Gateway::UpstreamReport upstream;
        upstream.id = Core::UpstreamId("w" + std::to_string(n));
        upstream.service = "llm";
        fleet.apply(upstream);
        for (std::uint64_t part = 0; part < 500; ++part) {
            const std::vector<PromptPart> parts {{part, 100}};
            fleet.find(upstream.id)->noteCached(parts);
        }
    }
    const auto snapshot = encodeCacheSnapshot(fleet, {});
    CHECK(snapshot.size() < 262'144);
    Gateway::UpstreamFleet fresh;
    for (const auto &[id, engine] : fleet.all())
        fresh.apply(engine->report());
    Gateway::KvCacheStores stores;
    applyCacheSnapshot(snapshot, fresh, stores);
    const std::vector<PromptPart> newest {{499, 100}};
    const std::vector<PromptPart> oldest {{0, 100}};
    CHECK(fresh.find(Core::UpstreamId("w7"))->prefixCache().cachedTokens(newest) == 100);
    CHECK(fresh.find(Core::UpstreamId("w7"))->prefixCache().cachedTokens(oldest) == 0);
}
