#include <LibCore/ManualClock.h>
#include <LibGateway/SiblingExchange.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

/// A log that holds nothing; the journal of these tests is never read.
class EmptyLog final : public Gateway::FleetLog
{
public:
    boost::asio::awaitable<Gateway::FleetPage> newest(Gateway::FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::FleetPage> read(Gateway::FleetTopic, std::uint64_t,
                                                    std::chrono::milliseconds) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::AppendOutcome> append(Gateway::FleetTopic, std::string,
                                                          std::optional<std::uint64_t>) override
    {
        co_return Gateway::AppendOutcome();
    }
};

struct Instance
{
    explicit Instance(const std::string &name)
    {
        settings.instance = Core::InstanceId(name);
        clock.advance(1h);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("w1");
        report.service = "llm";
        report.weights["m"] = 1;
        fleet.apply(report);
        engine().memory().setCapacity(100'000);
    }

    Gateway::Upstream &engine() const { return *fleet.find(Core::UpstreamId("w1")); }

    boost::asio::io_context context;
    Core::ManualClock clock;
    Gateway::GatewaySettings settings;
    EmptyLog log;
    Gateway::PoisonLedger poison;
    Gateway::UpstreamFleet fleet;
    Gateway::FleetJournal journal {log, clock, settings, poison};
    Gateway::SiblingExchange exchange {context, settings, clock, journal, fleet};
};

} // namespace

TEST_CASE("siblings tell load, parts, holds and weights")
{
    Instance one("one");
    Instance other("other");
    const std::vector<Gateway::PromptPart> parts {{1, 100}, {2, 200}};
    one.engine().noteSent(5'000, true);
    one.exchange.tellWeights(one.engine(), "m", 4);
    one.exchange.tellParts(one.engine(), parts);
    one.exchange.tellHold(one.engine(), 500ms);
    other.exchange.apply(one.exchange.encode());
    CHECK(other.engine().othersWaitingTokens().all == 5'000);
    CHECK(other.engine().othersWaitingTokens().urgent == 5'000);
    CHECK(other.engine().othersInFlight() == 1);
    CHECK(other.engine().weights("m") == 4);
    CHECK(other.engine().memory().keptTokens(parts) == 300);
    CHECK(other.engine().heldUntil() == other.clock.now() + 500ms);
    one.engine().noteFirstToken(5'000, true);
    one.engine().noteEnd();
    other.exchange.apply(one.exchange.encode());
    CHECK(other.engine().othersInFlight() == 0);
}

TEST_CASE("an overtaken datagram changes nothing, and another life begins anew")
{
    Instance one("one");
    Instance other("other");
    const auto old = one.exchange.encode();
    one.engine().noteSent(1'000, false);
    other.exchange.apply(one.exchange.encode());
    other.exchange.apply(old);
    CHECK(other.engine().othersInFlight() == 1);
    Instance restarted("one");
    other.exchange.apply(restarted.exchange.encode());
    CHECK(other.engine().othersInFlight() == 0);
}

TEST_CASE("the load of a silent sibling counts no more, and loads of several add up")
{
    Instance one("one");
    Instance two("two");
    Instance other("other");
    one.engine().noteSent(1'000, false);
    two.engine().noteSent(2'000, true);
    other.exchange.apply(one.exchange.encode());
    other.exchange.apply(two.exchange.encode());
    CHECK(other.engine().othersWaitingTokens().all == 3'000);
    other.clock.advance(1s);
    other.exchange.apply(two.exchange.encode());
    other.clock.advance(1s);
    other.exchange.dropSilent();
    CHECK(other.engine().othersWaitingTokens().all == 2'000);
}

TEST_CASE("bytes that are no report, and an instance's own, are ignored")
{
    Instance one("one");
    one.exchange.apply("");
    one.exchange.apply(std::string(200, '\xff'));
    one.engine().noteSent(1'000, false);
    one.exchange.apply(one.exchange.encode());
    CHECK(one.engine().othersInFlight() == 0);
    Instance other("other");
    auto cut = one.exchange.encode();
    cut.resize(cut.size() / 2);
    other.exchange.apply(cut);
    CHECK(other.engine().othersInFlight() == 0);
}
