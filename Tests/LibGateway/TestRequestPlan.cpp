#include <LibCore/ManualClock.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/MemoryAdmission.h>
#include <LibGateway/RequestPlan.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Gateway::RequestKind;

namespace {

class Dialect final : public Gateway::RequestDialect
{
public:
    Core::Result<Gateway::CallerRequest> decode(const Http::Request &) const override
    {
        return Gateway::CallerRequest {};
    }
    Http::Headers upstreamHeaders(const Http::Request &, const Gateway::Dispatch &) const override
    {
        return {};
    }
    Gateway::AnswerHead readHead(unsigned, const Http::Headers &) const override { return {}; }
};

/// One engine with weights 1.
struct Fixture
{
    Core::ManualClock clock;
    Dialect dialect;
    Gateway::GatewaySettings settings;
    Gateway::ConfigurationState configuration;
    Gateway::WeightsTargets weights;
    Gateway::UpstreamFleet fleet;
    Http::Client client;
    Gateway::Gateway gateway {{settings, clock, dialect, configuration, weights, fleet, client}};
    Gateway::Route route;
    Gateway::AcceptedRequest request;

    Fixture()
    {
        clock.advance(1h);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("w1");
        report.service = "llm";
        report.weights["m"] = 1;
        fleet.apply(report);
        auto version = std::make_shared<Gateway::GatewayConfiguration>();
        version->services["llm"].name = "llm";
        version->services["llm"].engine = Gateway::EngineLimits {8, 200'000, 0, 0};
        request.configuration = version;
        route.services = {{"llm", 1}};
        request.route = &route;
        request.caller.model = "m";
        request.parts = {{11, 500}};
    }

    bool isSent(RequestKind kind, bool isResumable)
    {
        route.kind = kind;
        route.isResumable = isResumable;
        route.maxAttempts = 2;
        request.deadline = clock.now() + 10s;
        return std::holds_alternative<Gateway::RequestPlan>(planRequest(gateway, request, {}));
    }
};

} // namespace

TEST_CASE("a prompt that cannot be withdrawn is not sent just before its weights are too old")
{
    Fixture fixture;
    fixture.weights.addTarget("m", {2, fixture.clock.now(), fixture.clock.now()});
    fixture.clock.advance(3s);
    CHECK(fixture.isSent(RequestKind::Repeatable, false));
    CHECK(fixture.isSent(RequestKind::Stream, true));
    CHECK(fixture.isSent(RequestKind::Stream, false));
    fixture.clock.advance(2'300ms);
    CHECK_FALSE(fixture.isSent(RequestKind::Repeatable, false));
    CHECK_FALSE(fixture.isSent(RequestKind::Once, false));
    // It would be withdrawn, but not sent to another engine.
    CHECK_FALSE(fixture.isSent(RequestKind::Stream, false));
    CHECK(fixture.isSent(RequestKind::Stream, true));
}

TEST_CASE("a prompt without room in any engine is refused, for good if it is larger than all")
{
    Fixture fixture;
    fixture.route.kind = RequestKind::Stream;
    fixture.request.deadline = fixture.clock.now() + 10s;
    fixture.request.caller.promptTokens = 20'000;
    const auto engine = fixture.fleet.find(Core::UpstreamId("w1"));
    const auto refusal = [&]() -> std::optional<Gateway::Refusal> {
        auto planned = planRequest(fixture.gateway, fixture.request, {});
        auto *refused = std::get_if<Gateway::Refusal>(&planned);
        return refused ? std::optional(*refused) : std::nullopt;
    };
    engine->setSiblingLoad({{}, 0, 180'000});
    CHECK_FALSE(refusal());
    auto planned = planRequest(fixture.gateway, fixture.request, {});
    const auto plan = std::get<Gateway::RequestPlan>(planned);
    CHECK_FALSE(refuseIfFull(fixture.gateway, fixture.request, plan));
    fixture.settings.isMemoryScarce = true;
    // As if the keeper of the queue had answered after the choice.
    REQUIRE(refuseIfFull(fixture.gateway, fixture.request, plan));
    REQUIRE(refusal());
    CHECK(refusal()->kind == Core::ErrorKind::Overloaded);
    CHECK(refusal()->retryAfter > 100ms);
    engine->setSiblingLoad({{}, 0, 160'000});
    CHECK_FALSE(refusal());
    CHECK_FALSE(refuseIfFull(fixture.gateway, fixture.request, plan));
    fixture.request.caller.promptTokens = 200'001;
    REQUIRE(refusal());
    CHECK_FALSE(refusal()->retryAfter);
    // Another service of the route has larger engines.
    auto version = std::make_shared<Gateway::GatewayConfiguration>(*fixture.request.configuration);
    version->services["large"].name = "large";
    version->services["large"].engine = Gateway::EngineLimits {8, 300'000, 0, 0};
    fixture.request.configuration = version;
    fixture.route.services.push_back({"large", 1});
    CHECK(refusal()->kind == Core::ErrorKind::NoUpstream);
    CHECK(refusal()->retryAfter);
}
