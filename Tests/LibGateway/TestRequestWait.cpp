#include <LibCore/ManualClock.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestQueue.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

class Dialect final : public Gateway::RequestDialect
{
public:
    Core::Result<Gateway::CallerRequest> decode(const Http::Request &) const override
    {
        Gateway::CallerRequest request;
        request.host = "h";
        request.callerTimeout = 8s;
        request.model = "m";
        request.promptTokens = 500;
        request.parts = {{"part", 500}};
        return request;
    }
    Http::Headers upstreamHeaders(const Http::Request &, const Gateway::Dispatch &) const override
    {
        return {};
    }
    Gateway::AnswerHead readHead(unsigned, const Http::Headers &) const override { return {}; }
};

class Exchange final : public Http::ServerExchange
{
public:
    Exchange() { m_request.target = "/p/"; }
    boost::asio::awaitable<void> respond(Http::Response sent) override
    {
        response = std::move(sent);
        co_return;
    }
    boost::asio::awaitable<void> startStream(unsigned, Http::Headers) override { co_return; }
    boost::asio::awaitable<void> write(std::string) override { co_return; }
    boost::asio::awaitable<void> finishStream() override { co_return; }
    void drop() override { noteCallerGone(); }
    void disconnect() { noteCallerGone(); }

    std::optional<Http::Response> response;
};

/// One engine that no connection can be made to, with two seconds of prompts in its queue.
struct Fixture
{
    boost::asio::io_context context;
    Core::ManualClock clock;
    Dialect dialect;
    Gateway::GatewaySettings settings;
    Gateway::ConfigurationState configuration;
    Gateway::WeightsTargets weights;
    Gateway::UpstreamFleet fleet;
    Http::Client client;
    Gateway::Gateway gateway {{settings, clock, dialect, configuration, weights, fleet, client}};
    Exchange exchange;
    static constexpr std::uint64_t Queued = 100'000;

    explicit Fixture(bool queuesRequests = true)
    {
        clock.advance(1h);
        settings.queuesRequests = queuesRequests;
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("w1");
        report.service = "llm";
        report.endpoint = Http::parseEndpoint("127.0.0.1:1").value();
        report.weights["m"] = 1;
        fleet.apply(report);
        configure(1, "/p/");
        engine().noteSent(Queued, false);
        boost::asio::co_spawn(context, gateway.handle(exchange), boost::asio::detached);
        context.run_for(20ms);
    }
    Gateway::Upstream &engine() const { return *fleet.members("llm").front(); }
    void configure(std::uint64_t number, const std::string &path)
    {
        auto version = std::make_shared<Gateway::GatewayConfiguration>();
        version->version = number;
        version->services["llm"].name = "llm";
        version->services["llm"].engine = Gateway::EngineLimits {8, 200'000, 0, 0};
        Gateway::Route route;
        route.name = "prompts";
        route.host = "h";
        route.pathPrefix = path;
        route.services = {{"llm", 1}};
        version->routes = {route};
        version->buildIndexes();
        configuration.adopt(version);
        configuration.confirm(clock.now());
    }
    std::size_t waiting() { return gateway.queue().room().size(); }
    bool wasSent() { return gateway.metrics().attempts.render().find("end=") != std::string::npos; }
};

} // namespace

TEST_CASE("a prompt waits for an engine and is sent when it has room")
{
    Fixture fixture;
    CHECK(fixture.waiting() == 1);
    CHECK_FALSE(fixture.exchange.response);
    CHECK(fixture.gateway.metrics().render().find("jujube_gateway_waiting{route=\"prompts\"} 1")
          != std::string::npos);
    fixture.engine().noteFirstToken(Fixture::Queued, false);
    fixture.gateway.queue().noteCapacity();
    fixture.context.run_for(1s);
    CHECK(fixture.wasSent());
    CHECK(fixture.waiting() == 0);
}

TEST_CASE("without scarce memory, a prompt is refused at once")
{
    Fixture fixture(false);
    REQUIRE(fixture.exchange.response);
    CHECK(fixture.exchange.response->status == 503);
    CHECK(fixture.exchange.response->headers.find("Retry-After") == "1.500");
}

TEST_CASE("a disconnected caller, a planned stop and a changed configuration end the wait")
{
    Fixture fixture;
    REQUIRE(fixture.waiting() == 1);
    SECTION("the caller disconnects")
    {
        fixture.exchange.disconnect();
        fixture.context.run_for(20ms);
        CHECK_FALSE(fixture.exchange.response);
    }
    SECTION("the instance stops")
    {
        fixture.gateway.beginStop(8s);
        fixture.context.run_for(20ms);
        REQUIRE(fixture.exchange.response);
        CHECK(fixture.exchange.response->status == 503);
    }
    SECTION("the route is removed")
    {
        fixture.configure(2, "/other/");
        fixture.context.run_for(200ms);
        REQUIRE(fixture.exchange.response);
        CHECK(fixture.exchange.response->status == 404);
    }
    CHECK(fixture.waiting() == 0);
    CHECK_FALSE(fixture.wasSent());
}

TEST_CASE("after a pause of the process, a waiting request is refused and not sent")
{
    Fixture fixture;
    REQUIRE(fixture.waiting() == 1);
    // The engine has room, but the caller's time has expired.
    fixture.engine().noteFirstToken(Fixture::Queued, false);
    fixture.clock.advance(9s);
    fixture.context.run_for(200ms);
    REQUIRE(fixture.exchange.response);
    CHECK(fixture.exchange.response->status == 503);
    CHECK(fixture.waiting() == 0);
    CHECK_FALSE(fixture.wasSent());
}
