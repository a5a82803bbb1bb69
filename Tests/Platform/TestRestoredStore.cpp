#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;

namespace {

constexpr auto OperatorTopic = "keyed.op";
constexpr auto UpstreamsTopic = "keyed.servers";
constexpr auto Outage = 300ms;
constexpr auto ConfigurationBound = 2'000ms;
// Longer than an instance takes to read new records.
constexpr auto ReadTime = 500ms;

/// Restores the logs of the store from their copy, and writes before it answers again.
void restore(
    GatewayFixture &fixture, const std::function<void()> &write = [] {})
{
    fixture.store.setRefusal(503);
    std::this_thread::sleep_for(Outage);
    fixture.store.restoreLogs();
    write();
    fixture.store.setRefusal(0);
}

unsigned statusOf(const GatewayFixture &fixture, const std::string &target)
{
    static int count = 0;
    return fixture.send(GatewayFixture::request(target, "id-" + std::to_string(++count))).status;
}

std::string addedRoute()
{
    return R"([{"Name":"added","Host":"a.example","PathPrefix":"/added/","Kind":"idempotent",)"
           R"("TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app"}])";
}

} // namespace

// Guards against records that stand at offsets which an instance has read before the restore.
TEST_CASE("a configuration is in force when the restored log grows past the position that was read")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    fixture.configure(1);
    fixture.startGateway();
    for (unsigned version = 2; version <= 6; version += 2) {
        fixture.store.copyLogs();
        for (int n = 0; n < 3; ++n)
            fixture.store.put(OperatorTopic, "note", "lost");
        std::this_thread::sleep_for(ReadTime);
        restore(fixture, [&] {
            fixture.configure(version, addedRoute());
            for (int n = 0; n < 5; ++n)
                fixture.store.put(OperatorTopic, "note", "new");
        });
        std::this_thread::sleep_for(ConfigurationBound);
        CHECK(statusOf(fixture, "/added/a") == 200);
        CHECK(GatewayFixture::eventually([&] { return statusOf(fixture, "/views/a") == 404; }));
        fixture.configure(version + 1);
        CHECK(GatewayFixture::eventually([&] { return statusOf(fixture, "/views/a") == 200; }));
    }
}

// Guards against reports that are taken for old ones because offsets are given out again.
TEST_CASE("an upstream that leaves after the store was restored gets no more requests")
{
    GatewayFixture fixture;
    auto &leaving = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    fixture.startGateway();
    fixture.store.copyLogs();
    for (unsigned sequence = 2; sequence <= 4; ++sequence)
        fixture.store.put(UpstreamsTopic, "w-1", leaving.entry("ready", sequence));
    std::this_thread::sleep_for(ReadTime);
    restore(fixture);
    fixture.store.put(UpstreamsTopic, "w-1", leaving.entry("draining", 5));
    std::this_thread::sleep_for(ReadTime + 500ms);
    const auto before = leaving.requests().size();
    for (int n = 0; n < 20; ++n)
        CHECK(statusOf(fixture, "/calls/a") == 200);
    CHECK(leaving.requests().size() == before);
}

// Guards against old entries that come into force again with the copy.
TEST_CASE("an upstream that left, and a key that was taken away, stay out when the copy has them")
{
    GatewayFixture fixture;
    auto &removed = fixture.addWorker("w-1", "app");
    auto &draining = fixture.addWorker("w-2", "app");
    fixture.addWorker("w-3", "app");
    fixture.configure(1);
    fixture.startGateway();
    fixture.store.copyLogs();
    fixture.store.put(UpstreamsTopic, "w-1", std::nullopt);
    fixture.store.put(UpstreamsTopic, "w-2", draining.entry("draining", 2));
    fixture.configure(2, GatewayFixture::defaultRoutes(),
                      R"([{"Name":"liit","ApiKeys":["key-1"]}])");
    std::this_thread::sleep_for(ReadTime);
    restore(fixture);
    std::this_thread::sleep_for(ReadTime);
    const auto before = removed.requests().size() + draining.requests().size();
    for (int n = 0; n < 20; ++n)
        CHECK(statusOf(fixture, "/calls/a") == 200);
    CHECK(removed.requests().size() + draining.requests().size() == before);
    auto request = GatewayFixture::request("/calls/a", "taken-away");
    request.headers.remove("Authorization");
    request.headers.add("Authorization", "Bearer key-2");
    const auto answer = fixture.send(std::move(request));
    CHECK(answer.status == 401);
}

// Guards against refusals while upstreams write their lost entries again.
TEST_CASE("an upstream whose entry was lost stays in use until it is written again")
{
    GatewayFixture fixture;
    fixture.configure(1);
    fixture.store.copyLogs();
    auto &added = fixture.addWorker("w-1", "app");
    fixture.startGateway();
    restore(fixture);
    for (int n = 0; n < 10; ++n) {
        CHECK(statusOf(fixture, "/calls/a") == 200);
        std::this_thread::sleep_for(100ms);
    }
    fixture.store.put(UpstreamsTopic, "w-1", added.entry("ready", 2));
    std::this_thread::sleep_for(3s);
    CHECK(statusOf(fixture, "/calls/a") == 200);
}
