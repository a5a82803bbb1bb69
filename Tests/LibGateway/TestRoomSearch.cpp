#include <LibCore/ManualClock.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RoomSearch.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Gateway::RequestKind;
using Gateway::RequestPlan;
using Gateway::RoomSearch;

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

/// A plain service with three upstreams of 6 slots.
struct Fixture
{
    explicit Fixture(unsigned instances = 80)
    {
        clock.advance(1h);
        gateway.setEngineQueues(&queues);
        gateway.setInstanceCount(instances);
        for (const char *id : {"p0", "p1", "p2"}) {
            Gateway::UpstreamReport report;
            report.id = Core::UpstreamId(id);
            report.service = "orders";
            report.slots = 6;
            fleet.apply(report);
        }
        auto version = std::make_shared<Gateway::GatewayConfiguration>();
        version->services["orders"].name = "orders";
        request.configuration = version;
        route.services = {{"orders", 1}};
        route.target = 120ms;
        request.route = &route;
        request.arrival = clock.now();
        request.deadline = clock.now() + 600ms;
    }

    std::shared_ptr<Gateway::Upstream> upstream(const char *id) const
    {
        return fleet.find(Core::UpstreamId(id));
    }
    std::variant<RequestPlan, Gateway::Refusal> plan(const std::set<Core::UpstreamId> &full = {})
    {
        return planRequest(gateway, request, {}, full);
    }
    /// Returns the ids of the upstreams that the request is sent to, in many plans.
    std::set<std::string> choices()
    {
        std::set<std::string> ids;
        for (int n = 0; n < 100; ++n) {
            const auto planned = plan();
            if (const auto *sent = std::get_if<RequestPlan>(&planned))
                ids.insert(sent->upstream->report().id.value());
        }
        return ids;
    }

    Core::ManualClock clock;
    Dialect dialect;
    Gateway::GatewaySettings settings;
    Gateway::ConfigurationState configuration;
    Gateway::WeightsTargets weights;
    Gateway::UpstreamFleet fleet;
    Http::Client client;
    Gateway::Gateway gateway {{settings, clock, dialect, configuration, weights, fleet, client}};
    boost::asio::io_context context;
    Gateway::FleetMembers members {{Core::InstanceId("i"), "south", {}, 100}, clock};
    Gateway::EngineQueueExchange queues {
        context, {clock, members, fleet, [](const auto &) { return 50.0; }, [](auto &&...) {}}};
    Gateway::Route route;
    Gateway::AcceptedRequest request;
};

} // namespace

TEST_CASE("a request that may run once avoids upstreams whose refusals cannot be trusted")
{
    Fixture fixture;
    fixture.upstream("p0")->noteUnreachable(fixture.clock.now());
    fixture.clock.advance(1'100ms);
    fixture.request.deadline = fixture.clock.now() + 600ms;
    for (int n = 0; n < 3; ++n)
        fixture.upstream("p1")->noteOutcome(false, fixture.clock.now());
    CHECK(fixture.choices() == std::set<std::string> {"p2"});
    // A healthy upstream that is full is not replaced by one of them.
    CHECK(std::holds_alternative<Gateway::Refusal>(fixture.plan({Core::UpstreamId("p2")})));
    fixture.route.kind = RequestKind::Repeatable;
    CHECK(fixture.choices().contains("p0"));
    fixture.route.kind = RequestKind::Once;
    fixture.upstream("p2")->pauseUntil(fixture.clock.now() + 1s);
    CHECK(fixture.choices() == std::set<std::string> {"p0"});
    // Without a request that may be lost, the upstream on probation would never be used again.
    fixture.clock.advance(12s);
    CHECK(fixture.choices().contains("p0"));
}

TEST_CASE("services with a slot for each instance, engines and streams are served as before")
{
    Fixture fixture(18);
    const auto &service = *fixture.request.configuration->findService("orders");
    CHECK_FALSE(isRoomLimited(fixture.gateway, fixture.request, service));
    fixture.gateway.setInstanceCount(19);
    CHECK(isRoomLimited(fixture.gateway, fixture.request, service));
    fixture.route.kind = RequestKind::Stream;
    CHECK_FALSE(isRoomLimited(fixture.gateway, fixture.request, service));
    fixture.route.kind = RequestKind::Once;
    auto engines = service;
    engines.engine = Gateway::EngineLimits {8, 200'000, 0, 0};
    CHECK_FALSE(isRoomLimited(fixture.gateway, fixture.request, engines));
    fixture.gateway.setEngineQueues(nullptr);
    CHECK_FALSE(isRoomLimited(fixture.gateway, fixture.request, service));
}

TEST_CASE("a request that finds no room at three upstreams is refused with a time to return")
{
    Fixture fixture;
    for (const char *id : {"p0", "p1", "p2"})
        fixture.upstream(id)->setKeptLoad({{}, 200, 0}, fixture.clock.now());
    RoomSearch search(fixture.gateway, fixture.request);
    while (!search.hasEnded()) {
        auto planned = fixture.plan(search.full());
        auto *plan = std::get_if<RequestPlan>(&planned);
        REQUIRE(plan);
        REQUIRE(search.appliesTo(*plan));
        CHECK(search.demand(*plan).requestLimit > 6);
        CHECK_FALSE(search.hasRoom(*plan, nullptr));
        CHECK_FALSE(plan->requestsAhead);
    }
    CHECK(search.full().size() == 3);
    const auto refusal = search.refuse();
    CHECK(refusal.kind == Core::ErrorKind::Overloaded);
    REQUIRE(refusal.retryAfter);
    CHECK(*refusal.retryAfter >= 50ms);
}

TEST_CASE("without an answer of the keeper, the choice by reports stands")
{
    Fixture fixture;
    RoomSearch search(fixture.gateway, fixture.request);
    auto planned = fixture.plan();
    auto &plan = std::get<RequestPlan>(planned);
    search.demand(plan);
    CHECK(search.hasRoom(plan, nullptr));
    CHECK(plan.requestsAhead == 0U);
    CHECK_FALSE(search.hasAsked());
}
