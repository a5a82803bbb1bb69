#include <LibConfiguration/ConfigurationReader.h>
#include <LibConfiguration/FakeLogService.h>
#include <LibConfiguration/SampleDocuments.h>
#include <LibCore/EventLog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>

using namespace std::chrono_literals;
using Configuration::ConfigurationReader;
using Configuration::Generation;

namespace {

constexpr const char *Environment = "trial";
constexpr const char *Stream = "configuration.trial";

/// Runs several readers of one log on one thread.
struct Fixture
{
    explicit Fixture(std::uint64_t seed = 1)
        : random(seed)
        , service(log, clock, seed)
    {
        Core::configureEventLog(Core::LogFormat::Json, Core::EventLevel::Error);
    }
    ~Fixture()
    {
        for (auto &it : readers)
            it.stop();
        context.run();
    }

    ConfigurationReader &start() { return start(clock); }
    ConfigurationReader &start(const Core::Clock &readerClock)
    {
        const auto name = "instance-" + std::to_string(readers.size());
        auto &reader = readers.emplace_back(
            Configuration::ReaderOptions {.environment = Environment,
                                          .instance = Core::InstanceId(name),
                                          .renewalInterval = 2s,
                                          .firstRetry = 0ms,
                                          .maxRetryDelay = 0ms},
            service, readerClock, random,
            Configuration::ReaderHooks {.onAccepted =
                                            [this](const auto &it) {
                                                // Slow hooks give other threads the chance to
                                                // announce a version first.
                                                if (isSlowToAnnounce && it.generation % 2 == 0)
                                                    std::this_thread::sleep_for(1ms);
                                                accepted.push_back(it.generation);
                                            },
                                        .onRefused = [this](const auto &) { ++refused; }});
        boost::asio::co_spawn(context, reader.run(), boost::asio::detached);
        return reader;
    }
    void publish(Generation replaces, const std::string &document)
    {
        const auto base = replaces == 0 ? std::string() : documents.at(replaces - 1);
        documents.push_back(document);
        const auto id = std::to_string(documents.size());
        log.append(Stream,
                   encodeRecord(Environment, samplePublication(replaces, base, document, id)));
    }
    /// Runs the readers until the condition holds. Returns false when it never does.
    template <typename Condition>
    bool runUntil(Condition holds)
    {
        for (int n = 0; n < 2'000'000 && !holds(); ++n)
            context.run_one();
        return holds();
    }

    boost::asio::io_context context;
    Core::ManualClock clock;
    Platform::InMemoryLog log {clock, 10s};
    std::mt19937_64 random;
    FakeLogService service;
    std::vector<std::string> documents;
    std::vector<Generation> accepted;
    bool isSlowToAnnounce = false;
    std::size_t refused = 0;
    std::deque<ConfigurationReader> readers;
};

} // namespace

TEST_CASE("an accepted document becomes active on every instance, a rejected one on none")
{
    Fixture fixture;
    fixture.publish(0, invalidDocument(0));
    fixture.documents.clear();
    fixture.publish(0, sampleDocument(1));
    for (int n = 0; n < 8; ++n)
        fixture.start();
    CHECK(fixture.runUntil([&] { return fixture.accepted.size() == 8; }));
    CHECK(fixture.refused == 8);
    for (const auto &it : fixture.readers)
        CHECK(it.current()->bytes == sampleDocument(1));
}

TEST_CASE("an instance keeps its configuration during a log outage and catches up afterwards")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1));
    auto &reader = fixture.start();
    REQUIRE(fixture.runUntil([&] { return reader.generation() == 1; }));
    fixture.service.isUnavailable = true;
    REQUIRE(fixture.runUntil([&] { return reader.counters().failures > 5; }));
    CHECK(reader.generation() == 1);
    fixture.publish(1, sampleDocument(2));
    fixture.service.isUnavailable = false;
    CHECK(fixture.runUntil([&] { return reader.generation() == 2; }));
}

TEST_CASE(
    "an instance without the log adopts a sibling's document and never reverts to an older one")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1));
    fixture.publish(1, sampleDocument(2));
    fixture.service.isUnavailable = true;
    auto &reader = fixture.start();
    REQUIRE(fixture.runUntil([&] { return reader.counters().failures > 2; }));
    CHECK(reader.generation() == 0);
    CHECK(reader.adoptFromSibling(2, invalidDocument(2)).has_error());
    CHECK(reader.adoptFromSibling(2, sampleDocument(2)).value());
    CHECK_FALSE(reader.adoptFromSibling(1, sampleDocument(1)).value());
    CHECK(reader.generation() == 2);
    // Reading generation 1 from the log afterwards does not activate an older version.
    fixture.service.isUnavailable = false;
    fixture.publish(2, sampleDocument(3));
    CHECK(fixture.runUntil([&] { return reader.generation() == 3; }));
    CHECK(fixture.accepted == std::vector<Generation> {2, 3});
}

TEST_CASE("threads that adopt versions in any order never announce or expose an older one")
{
    constexpr Generation Versions = 60;
    Fixture fixture;
    fixture.isSlowToAnnounce = true;
    auto &reader = fixture.start();
    std::atomic<bool> isDone {false};
    std::atomic<std::size_t> regressions {0};
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < 3; ++n)
        threads.emplace_back([&, n] {
            for (Generation it = 1 + n; it <= Versions; it += 1 + n % 2)
                (void)reader.adoptFromSibling(it, sampleDocument(static_cast<unsigned>(it)));
        });
    std::thread watcher([&] {
        for (Generation last = 0; !isDone;) {
            const auto now = reader.current()->generation;
            regressions += now < last ? 1 : 0;
            last = now;
        }
    });
    for (auto &it : threads)
        it.join();
    isDone = true;
    watcher.join();
    CHECK(regressions == 0);
    CHECK(reader.generation() == Versions);
    CHECK(std::is_sorted(fixture.accepted.begin(), fixture.accepted.end()));
}

TEST_CASE("the log's document replaces a sibling's document of the same generation")
{
    Fixture fixture;
    auto &reader = fixture.start();
    CHECK(reader.adoptFromSibling(1, sampleDocument(7)).value());
    fixture.publish(0, sampleDocument(1));
    CHECK(fixture.runUntil([&] { return reader.current()->bytes == sampleDocument(1); }));
}

TEST_CASE("the document outlives the log's retention even when answers are lost")
{
    Fixture fixture;
    fixture.service.lostAnswerPercent = 50;
    fixture.publish(0, sampleDocument(1));
    for (int n = 0; n < 8; ++n)
        fixture.start();
    const auto end = fixture.clock.now() + 60s;
    REQUIRE(fixture.runUntil([&] { return fixture.clock.now() > end; }));
    const auto kept = fixture.log.read(Stream, 0, 1'000);
    CHECK(kept.first > 0);
    auto &late = fixture.start();
    CHECK(fixture.runUntil([&] { return late.generation() == 1; }));
    CHECK(late.current()->bytes == sampleDocument(1));
    // Sixty seconds contain at most thirty intervals. Without coordination, the 8 instances would
    // append 8 times as many renewals.
    CHECK(kept.next < 60);
}

TEST_CASE("an instance whose wall clock is ahead does not flood the log with renewals")
{
    Core::ManualClock ahead;
    Fixture fixture;
    ahead.advance(24h);
    fixture.publish(0, sampleDocument(1));
    auto &reader = fixture.start(ahead);
    REQUIRE(fixture.runUntil([&] { return reader.counters().reads > 100; }));
    CHECK(reader.counters().renewals == 1);
}
