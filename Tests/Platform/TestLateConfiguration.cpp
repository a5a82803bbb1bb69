#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::GatewayOptions;

namespace {

constexpr auto Topic = "keyed.op";
constexpr auto ConfigurationBound = 2'000ms;
// Longer than an instance takes to send its next read.
constexpr auto NextReadTime = 100ms;

/// Returns the default routes with one more, and with that of the views moved to another service.
std::string changedRoutes()
{
    auto routes = GatewayFixture::defaultRoutes();
    const std::string service = R"("Service":"app")";
    routes.replace(routes.find(service, routes.find(R"("views")")), service.size(),
                   R"("Service":"llm")");
    routes.insert(
        routes.find('{'),
        R"({"Name":"added","Host":"a.example","PathPrefix":"/added/","Kind":"idempotent",)"
        R"("TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2},)");
    return routes;
}

} // namespace

TEST_CASE("a version is in force within the bound although a read of the log is not answered")
{
    const auto failure = GENERATE(StandIns::CallFailure::NoAnswer,
                                  StandIns::CallFailure::Unavailable, StandIns::CallFailure::Reset);
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    const auto &next = fixture.addWorker("w-2", "llm");
    fixture.configure(1);
    GatewayOptions options;
    options.store = fixture.store.addCaller(options.name);
    fixture.startGateway(options);
    StandIns::StoreTrouble trouble;
    trouble.failures = 1;
    trouble.failure = failure;
    trouble.failingTopic = Topic;
    fixture.store.setTrouble(options.name, trouble);
    // Ends the read that is under way, so that the next one fails.
    fixture.configure(1);
    std::this_thread::sleep_for(NextReadTime);
    fixture.configure(2, changedRoutes());
    std::this_thread::sleep_for(ConfigurationBound);
    CHECK(fixture.send(GatewayFixture::request("/added/a", "id-1", "GET")).status == 200);
    CHECK(fixture.send(GatewayFixture::request("/views/a", "id-2", "GET")).status == 200);
    CHECK(next.requests().size() == 1);
}
