#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

Http::Request order(const std::string &id, const std::string &key)
{
    auto request = GatewayFixture::request("/calls/order", id);
    request.headers.remove("Authorization");
    if (!key.empty())
        request.headers.add("Authorization", "Bearer " + key);
    return request;
}

bool hasRun(const WorkerStandIn &worker, const std::string &id)
{
    const auto requests = worker.requests();
    return std::any_of(requests.begin(), requests.end(), [&id](const auto &request) {
        return request.headers.find("X-Jujubesaddle-Attempt-Id") == id;
    });
}

} // namespace

// Guards against a list of tenants without a readable entry being taken for a configuration that
// needs no keys: all routes were open to everybody.
TEST_CASE("orders run with a key that was taken away, or that never was, when no tenant is left")
{
    const std::string tenants = GENERATE(as<std::string>(), "[]", "[7]", "null",
                                         R"([{"Name":"liit"}])", R"([{"ApiKeys":["key-1"]}])");
    CAPTURE(tenants);
    GatewayFixture fixture;
    const auto &app = fixture.addWorker("w-1", "app");
    fixture.configure(1);
    fixture.startGateway();
    CHECK(fixture.send(order("id-1", "key-1")).status == 200);
    fixture.configure(2, GatewayFixture::defaultRoutes(), tenants);
    CHECK(GatewayFixture::eventually([&, n = 0]() mutable {
        return fixture.send(order("wait-" + std::to_string(++n), "key-1")).status == 401;
    }));
    for (const std::string key : {"key-1", "key-never-held", ""}) {
        CHECK(fixture.send(order("after-" + key, key)).status == 401);
        CHECK_FALSE(hasRun(app, "after-" + key));
    }
    // An instance that starts with that version as the newest one.
    fixture.startGateway({"edge-2", 5'000, 8});
    CHECK(fixture.send(order("started", "key-1")).status == 401);
    CHECK_FALSE(hasRun(app, "started"));
    // The way back.
    fixture.configure(3);
    CHECK(GatewayFixture::eventually([&, n = 0]() mutable {
        return fixture.send(order("back-" + std::to_string(++n), "key-1")).status == 200;
    }));
}
