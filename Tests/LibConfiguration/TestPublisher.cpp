#include <LibConfiguration/FakeLogService.h>
#include <LibConfiguration/Publisher.h>
#include <LibConfiguration/SampleDocuments.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using Configuration::ConfigurationHistory;
using Configuration::Publisher;
using Configuration::PublishOutcome;
using Configuration::PublishRequest;
using Configuration::PublishResult;

namespace {

constexpr const char *Environment = "trial";
constexpr Publisher::Options Options {.timeout = 200ms, .firstRetry = 0ms, .maxRetryDelay = 0ms};

struct Fixture
{
    explicit Fixture(std::uint64_t seed = 1)
        : random(seed)
        , service(log, clock, seed)
    { }

    template <typename Result>
    Result await(boost::asio::awaitable<Result> work)
    {
        auto future = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
        context.restart();
        context.run();
        return future.get();
    }
    PublishOutcome publish(const std::string &bytes)
    {
        return await(publisher.publish({.environment = Environment, .bytes = bytes}));
    }
    /// Returns the digests of the accepted documents, in order.
    std::vector<std::string> accepted()
    {
        std::vector<std::string> digests;
        ConfigurationHistory history(Environment);
        await(publisher.readHistory(history, [&](const auto &entry) {
            if (entry.version)
                digests.push_back(entry.version->digest);
        }));
        return digests;
    }

    boost::asio::io_context context;
    Core::ManualClock clock;
    Platform::InMemoryLog log {clock, 1h};
    std::mt19937_64 random;
    FakeLogService service;
    Publisher publisher {service, clock, random, Options};
};

} // namespace

TEST_CASE("a publication whose answers are always lost is found by reading back")
{
    Fixture fixture;
    fixture.service.lostAnswerPercent = 100;
    const auto outcome = fixture.publish(sampleDocument(1));
    CHECK(outcome.result == PublishResult::Accepted);
    CHECK(outcome.generation == 1);
    CHECK(fixture.publish(sampleDocument(2)).generation == 2);
}

TEST_CASE("an append that takes effect after the timeout is not reported as rejected")
{
    Fixture fixture;
    fixture.service.delayedAppendPercent = 100;
    const auto outcome = fixture.publish(sampleDocument(1));
    CHECK(outcome.result == PublishResult::Unknown);
    fixture.service.releaseDelayedAppends();
    CHECK(fixture.accepted().size() == 1);
}

TEST_CASE("nothing is appended for a document with faults or an outdated generation")
{
    Fixture fixture;
    fixture.publish(sampleDocument(1));
    CHECK_THROWS_AS(fixture.publish(invalidDocument(2)), Core::Error);
    PublishRequest request {.environment = Environment, .bytes = sampleDocument(3), .replaces = 0};
    try {
        fixture.await(fixture.publisher.publish(request));
        FAIL("published");
    } catch (const Core::Error &error) {
        CHECK(error.kind() == Core::ErrorKind::ConfigurationConflict);
    }
    CHECK(fixture.log.read("configuration.trial", 0, 9).next == 1);
}

TEST_CASE("a stream that no longer determines a document is restarted once")
{
    Fixture fixture;
    const PublishRequest request {.environment = Environment, .bytes = sampleDocument(2)};
    fixture.publish(sampleDocument(1));
    CHECK_THROWS_AS(fixture.await(fixture.publisher.restart(request, 9)), Core::Error);
    fixture.clock.advance(2h);
    CHECK_THROWS_AS(fixture.publish(sampleDocument(2)), Core::Error);
    fixture.service.lostAnswerPercent = 100;
    const auto outcome = fixture.await(fixture.publisher.restart(request, 9));
    CHECK(outcome.result == PublishResult::Accepted);
    CHECK(outcome.generation == 9);
    CHECK_THROWS_AS(fixture.await(fixture.publisher.restart(request, 10)), Core::Error);
    CHECK(fixture.publish(sampleDocument(3)).generation == 10);
}

TEST_CASE("one of two concurrent restarts wins for every reader")
{
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        Fixture fixture(seed);
        fixture.publish(sampleDocument(0));
        fixture.clock.advance(2h);
        std::vector<PublishOutcome> outcomes(2);
        for (std::size_t n = 0; n < outcomes.size(); ++n)
            boost::asio::co_spawn(
                fixture.context,
                fixture.publisher.restart(
                    {.environment = Environment, .bytes = sampleDocument(static_cast<unsigned>(n))},
                    9),
                [&outcomes, n](const std::exception_ptr &error, const PublishOutcome &outcome) {
                    // The second call may find that the stream has already been restarted.
                    outcomes[n] =
                        error ? PublishOutcome {.result = PublishResult::LostRace} : outcome;
                });
        fixture.context.restart();
        fixture.context.run();
        const auto winners = std::count_if(outcomes.begin(), outcomes.end(), [](const auto &it) {
            return it.result == PublishResult::Accepted;
        });
        CHECK(winners == 1);
        const auto accepted = fixture.accepted();
        REQUIRE(accepted.size() == 1);
        const auto winner = outcomes[0].result == PublishResult::Accepted ? 0U : 1U;
        CHECK(accepted.front() == Core::sha256Hex(sampleDocument(winner)));
        lost += outcomes[1 - winner].digest.empty() ? 0 : 1;
    }
    CHECK(lost > 0);
}

TEST_CASE("an outage before the append is reported as unavailable")
{
    Fixture fixture;
    fixture.service.isUnavailable = true;
    try {
        fixture.publish(sampleDocument(1));
        FAIL("published");
    } catch (const Core::Error &error) {
        CHECK(error.kind() == Core::ErrorKind::PlatformUnavailable);
    }
}

TEST_CASE(
    "concurrent operators get one winner per generation and correct outcomes, over seeded races")
{
    constexpr std::size_t Operators = 4;
    std::size_t lost = 0;
    std::size_t unknown = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        Fixture fixture(seed);
        fixture.service.lostAnswerPercent = seed % 3 * 30;
        fixture.service.delayedAppendPercent = seed % 6 * 20;
        std::vector<PublishOutcome> outcomes(Operators);
        for (std::size_t n = 0; n < Operators; ++n)
            boost::asio::co_spawn(
                fixture.context,
                fixture.publisher.publish({.environment = Environment,
                                           .bytes = sampleDocument(static_cast<unsigned>(n))}),
                [&outcomes, n](const std::exception_ptr &error, const PublishOutcome &outcome) {
                    REQUIRE_FALSE(error);
                    outcomes[n] = outcome;
                });
        fixture.context.run();
        fixture.service.lostAnswerPercent = fixture.service.delayedAppendPercent = 0;
        fixture.service.releaseDelayedAppends();
        const auto accepted = fixture.accepted();
        for (std::size_t n = 0; n < Operators; ++n) {
            const auto digest = Core::sha256Hex(sampleDocument(static_cast<unsigned>(n)));
            const auto count = std::count(accepted.begin(), accepted.end(), digest);
            CHECK(count <= 1);
            if (outcomes[n].result == PublishResult::Accepted)
                CHECK(count == 1);
            if (outcomes[n].result == PublishResult::LostRace)
                CHECK(count == 0);
            lost += outcomes[n].result == PublishResult::LostRace ? 1 : 0;
            unknown += outcomes[n].result == PublishResult::Unknown ? 1 : 0;
        }
    }
    CHECK(lost > 0);
    CHECK(unknown > 0);
}
