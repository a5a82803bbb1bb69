#include <LibCore/ManualClock.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/MemoryAdmission.h>
#include <LibGateway/RequestPlan.h>
#include <LibGateway/TeamAdmission.h>

#include <catch2/catch.hpp>

#include <map>

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
    fixture.settings.limitsEngineMemory = true;
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

namespace {

/// Two teams at a service whose prompts are expected to wait for a given time.
struct TeamFixture : Fixture
{
    Gateway::Tenant large;
    Gateway::Tenant small;
    Gateway::EngineModel::Milliseconds wait {0};
    unsigned refused = 0;
    std::string reason;

    explicit TeamFixture(bool sharesEngines)
    {
        settings.sharesEnginesAmongTeams = sharesEngines;
        large.name = "large";
        small.name = "small";
        route.target = 100ms;
    }

    /// Plans a prompt twice, as a relay does when the queue is longer than known, and sends it.
    void arrive(const Gateway::Tenant &tenant)
    {
        request.tenant = &tenant;
        request.teamCounts = {};
        request.deadline = clock.now() + 10s;
        Gateway::EngineChoice choice;
        choice.expectedWait = wait;
        for (int n = 0; n < 2; ++n) {
            const auto refusal = refuseForTeam(gateway, request, "llm", choice);
            if (!refusal)
                continue;
            CHECK(refusal->kind == Core::ErrorKind::Overloaded);
            CHECK(refusal->retryAfter);
            reason = refusal->reason;
            ++refused;
            return;
        }
        Gateway::RequestPlan plan;
        plan.service = "llm";
        plan.engine = choice;
        noteTeamSent(gateway, request, plan);
        noteTeamSent(gateway, request, plan);
    }
};

} // namespace

TEST_CASE("only the team above its share of a short service is refused, and the reason names it")
{
    TeamFixture fixture(true);
    unsigned refusedSmall = 0;
    for (int step = 0; step < 1'700; ++step) {
        // The rates are known before the service becomes short.
        if (step == 700)
            fixture.wait = 0.7 * fixture.route.target;
        fixture.clock.advance(10ms);
        for (int n = 0; n < 9; ++n)
            fixture.arrive(fixture.large);
        const auto before = fixture.refused;
        fixture.arrive(fixture.small);
        refusedSmall += fixture.refused - before;
    }
    CHECK(refusedSmall == 0);
    CHECK(fixture.refused > 1'000);
    CHECK(fixture.reason.find("team large") != std::string::npos);
    CHECK(fixture.reason.find("share") != std::string::npos);
    // Each prompt counts once, although it is planned and sent twice.
    const auto now = fixture.clock.now();
    const auto small = fixture.gateway.teamRoom().standing("llm", "small", now);
    CHECK(small.askedPerSecond == Approx(50'000).epsilon(0.02));
    CHECK(small.admittedPerSecond == Approx(small.askedPerSecond));
    CHECK(teamSamples(fixture.gateway).size() == 6);
}

TEST_CASE("a prompt that was not executed does not count as admitted")
{
    TeamFixture fixture(true);
    fixture.clock.advance(10ms);
    fixture.arrive(fixture.small);
    const auto admitted = [&] {
        fixture.clock.advance(200ms);
        return fixture.gateway.teamRoom()
            .standing("llm", "small", fixture.clock.now())
            .admittedPerSecond;
    };
    CHECK(admitted() > 0);
    Gateway::RequestPlan plan;
    plan.service = "llm";
    plan.engine.emplace();
    noteTeamNotExecuted(fixture.gateway, fixture.request, plan);
    noteTeamNotExecuted(fixture.gateway, fixture.request, plan);
    CHECK(admitted() == Approx(0).margin(1));
}

TEST_CASE("teams are not counted unless engines are shared among them")
{
    TeamFixture fixture(false);
    for (int step = 0; step < 100; ++step) {
        fixture.clock.advance(10ms);
        fixture.arrive(fixture.large);
    }
    CHECK(fixture.refused == 0);
    CHECK(teamSamples(fixture.gateway).empty());
}

TEST_CASE("teams weigh as their usage caps only if all have one in tokens")
{
    Gateway::GatewayConfiguration configuration;
    configuration.tenants.resize(2);
    for (std::size_t n = 0; n < 2; ++n) {
        configuration.tenants[n].name = std::to_string(n);
        configuration.tenants[n].unitsPerSecond = 100 * static_cast<double>(n + 1);
        configuration.tenants[n].isCappedByTokens = true;
    }
    CHECK(Gateway::teamWeights(configuration)
          == std::map<std::string, double> {{"0", 100}, {"1", 200}});
    configuration.tenants[1].isCappedByTokens = false;
    CHECK(Gateway::teamWeights(configuration).empty());
}
