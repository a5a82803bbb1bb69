#include <LibCore/ManualClock.h>
#include <LibGateway/FleetWatcher.h>

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace std::chrono_literals;
using Gateway::FleetTopic;

namespace {

/// Decodes "version" for configurations, "model=version" for weights, and "service:born:number" for
/// upstreams.
class TextRecordDecoder final : public Gateway::RecordDecoder
{
public:
    Core::Result<Gateway::OperatorRecord>
    decodeOperator(const Gateway::FleetRecord &record) const override
    {
        const auto &value = *record.value;
        if (value == "unreadable")
            return Core::Error(Core::ErrorKind::ConfigurationInvalid, value);
        if (const auto at = value.find('='); at != std::string::npos)
            return Gateway::OperatorRecord(
                Gateway::WeightsTarget {value.substr(0, at), std::stoull(value.substr(at + 1))});
        Gateway::GatewayConfiguration configuration;
        configuration.version = std::stoull(value);
        return Gateway::OperatorRecord(std::move(configuration));
    }
    Core::Result<Gateway::UpstreamReport>
    decodeUpstream(const Gateway::FleetRecord &record) const override
    {
        const auto &value = *record.value;
        if (value == "unreadable")
            return Core::Error(Core::ErrorKind::ConfigurationInvalid, value);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId(record.key);
        const auto first = value.find(':');
        const auto second = value.find(':', first + 1);
        report.service = value.substr(0, first);
        report.startTime = std::chrono::milliseconds(std::stoll(value.substr(first + 1)));
        report.sequence = std::stoull(value.substr(second + 1));
        report.isDraining = value.ends_with("d");
        return report;
    }
};

class EmptyLog final : public Gateway::FleetLog
{
public:
    boost::asio::awaitable<Gateway::FleetPage> newest(FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::FleetPage> read(FleetTopic, Gateway::LogPosition,
                                                    std::chrono::milliseconds) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::AppendOutcome>
    append(FleetTopic, std::string, std::optional<Gateway::LogPosition>) override
    {
        co_return Gateway::AppendOutcome();
    }
};

struct Fixture
{
    Core::ManualClock clock;
    EmptyLog log;
    TextRecordDecoder decoder;
    Gateway::ConfigurationState configuration;
    Gateway::WeightsTargets weights;
    Gateway::UpstreamFleet fleet;
    int changes = 0;
    /// That of the last record of applyUpstream(); pages have lower ones.
    std::uint64_t offset = 100;
    Gateway::GatewaySettings settings;
    Gateway::FleetWatcher watcher {{log, decoder, clock, configuration, weights, fleet, settings},
                                   [this] { ++changes; }};

    Fixture() { clock.advance(1h); }
    void applyUpstream(const std::string &key, const std::optional<std::string> &value)
    {
        watcher.applyUpstream({++offset, key, value});
    }
    /// Applies what the store answered to a read of this moment.
    void readPage(std::vector<Gateway::FleetRecord> records = {})
    {
        Gateway::FleetPage page;
        page.asOf = clock.now();
        page.records = std::move(records);
        watcher.applyUpstreamsPage(page);
    }
    void failRead() { watcher.noteStoreStatus(FleetTopic::Upstreams, false, "refused"); }
    std::shared_ptr<Gateway::Upstream> find(const std::string &id) const
    {
        return fleet.find(Core::UpstreamId(id));
    }
};

} // namespace

TEST_CASE(
    "configurations and weights are applied in ascending order, and unreadable records are ignored")
{
    Fixture fixture;
    fixture.watcher.applyOperator({0, "config", "4"});
    fixture.watcher.applyOperator({1, "config", "unreadable"});
    fixture.watcher.applyOperator({2, "config", "3"});
    fixture.watcher.applyOperator({3, "config", std::nullopt});
    CHECK(fixture.configuration.current()->version == 4);
    CHECK(fixture.changes == 1);
    fixture.watcher.applyOperator({4, "version/m", "m=2"});
    fixture.watcher.applyOperator({5, "version/m", "m=1"});
    CHECK(fixture.weights.newest().at("m").version == 2);
}

TEST_CASE("weights are outdated since newer ones may have been named, not since that was read")
{
    Fixture fixture;
    const auto previousRead = fixture.clock.now();
    fixture.configuration.confirm(previousRead);
    fixture.clock.advance(900ms);
    fixture.watcher.applyOperator({0, "version/m", "m=2"});
    CHECK(fixture.weights.outdatedSince("m", 1) == previousRead);
}

TEST_CASE("an instance that starts does not count weights as just named")
{
    Fixture fixture;
    fixture.watcher.applyOperator({0, "version/m", "m=2"});
    CHECK(fixture.weights.outdatedSince("m", 1) == fixture.clock.now() - 3s);
}

TEST_CASE("weights named after an outage of the store do not make all engines too old at once")
{
    Fixture fixture;
    fixture.configuration.confirm(fixture.clock.now());
    fixture.clock.advance(20s);
    fixture.watcher.applyOperator({0, "version/m", "m=2"});
    CHECK(fixture.weights.outdatedSince("m", 1) == fixture.clock.now() - 3s);
}

TEST_CASE("an upstream's older report is ignored, and a new incarnation clears its cached parts")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:5");
    fixture.applyUpstream("w", "app:10:4d");
    CHECK_FALSE(fixture.find("w")->report().isDraining);
    fixture.applyUpstream("w", "unreadable");
    CHECK(fixture.find("w")->report().sequence == 5);
    auto &prefixCache = fixture.find("w")->prefixCache();
    prefixCache.setCapacity(1'000);
    const std::vector<Gateway::PromptPart> parts {{1, 100}};
    prefixCache.noteUse(parts);
    fixture.applyUpstream("w", "app:10:6");
    CHECK(prefixCache.cachedTokens(parts) == 100);
    fixture.applyUpstream("w", "app:20:0");
    CHECK(prefixCache.cachedTokens(parts) == 0);
    fixture.applyUpstream("w", "app:10:9d");
    CHECK_FALSE(fixture.find("w")->report().isDraining);
}

TEST_CASE("an upstream that moves to another service is listed there only")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:1");
    fixture.applyUpstream("w", "other:20:1");
    CHECK(fixture.fleet.members("app").empty());
    CHECK(fixture.fleet.members("other").size() == 1);
}

TEST_CASE(
    "a removed entry takes effect at once, but after a store outage only if it does not return")
{
    Fixture fixture;
    fixture.readPage({{0, "w1", "app:10:1"}, {1, "w2", "app:10:1"}, {2, "w3", "app:10:1"}});
    fixture.readPage({{3, "w1", std::nullopt}});
    CHECK_FALSE(fixture.find("w1"));
    fixture.failRead();
    // No upstream can register again while the store is unavailable.
    fixture.clock.advance(10s);
    fixture.watcher.applyPendingRemovals();
    CHECK(fixture.find("w2"));
    fixture.readPage({{4, "w2", std::nullopt}, {5, "w3", std::nullopt}});
    fixture.clock.advance(1s);
    fixture.applyUpstream("w2", "app:10:2");
    fixture.watcher.applyPendingRemovals();
    CHECK(fixture.find("w3"));
    fixture.clock.advance(2s);
    fixture.watcher.applyPendingRemovals();
    CHECK(fixture.find("w2"));
    CHECK_FALSE(fixture.find("w3"));
}

TEST_CASE("a removal that is read after one failed read of a stable store takes effect at once")
{
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:1"}});
    fixture.clock.advance(800ms);
    fixture.failRead();
    fixture.clock.advance(200ms);
    fixture.readPage({{1, "w", std::nullopt}});
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("the report interval that the settings name since a reload decides what is an outage")
{
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:1"}});
    fixture.settings.reportInterval = 5s;
    fixture.clock.advance(2s);
    fixture.failRead();
    fixture.clock.advance(2s);
    fixture.readPage({{1, "w", std::nullopt}});
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("a removal that is read after one read without an answer takes effect at once")
{
    const bool hasSiblingFailed = GENERATE(false, true);
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:1"}});
    // The pause, the wait, the time until the read counts as late, and the second read.
    fixture.clock.advance(800ms + 500ms + 300ms + 200ms);
    Gateway::FleetPage page;
    page.asOf = fixture.clock.now() - 200ms;
    page.answeredAt = fixture.clock.now();
    if (hasSiblingFailed)
        page.lastStoreFailure = fixture.clock.now() - 500ms;
    page.records.push_back({1, "w", std::nullopt});
    fixture.watcher.applyUpstreamsPage(page);
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("a removal that is read after a failure of the sibling's read takes effect at once")
{
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:1"}});
    fixture.clock.advance(500ms);
    Gateway::FleetPage page;
    page.asOf = fixture.clock.now();
    page.lastStoreFailure = fixture.clock.now() - 200ms;
    page.records.push_back({1, "w", std::nullopt});
    fixture.watcher.applyUpstreamsPage(page);
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("a removal that is read well after an outage of the store takes effect at once")
{
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:1"}});
    fixture.clock.advance(5s);
    fixture.failRead();
    fixture.clock.advance(200ms);
    fixture.readPage();
    for (int n = 0; n < 6; ++n) {
        fixture.clock.advance(300ms);
        fixture.readPage();
    }
    // Sound upstreams register again within about two seconds, however late a removal is read.
    fixture.readPage({{1, "w", std::nullopt}});
    CHECK(fixture.find("w"));
    fixture.clock.advance(600ms);
    fixture.readPage();
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("a removal while an instance did not run, or read through siblings, is no expiry")
{
    Fixture fixture;
    fixture.readPage({{0, "w1", "app:10:1"}, {1, "w2", "app:10:1"}});
    fixture.clock.advance(10s);
    fixture.readPage({{2, "w1", std::nullopt}});
    CHECK_FALSE(fixture.find("w1"));
    for (int n = 0; n < 10; ++n) {
        fixture.failRead();
        fixture.clock.advance(500ms);
        fixture.readPage();
    }
    fixture.readPage({{3, "w2", std::nullopt}});
    CHECK_FALSE(fixture.find("w2"));
}

TEST_CASE("upstreams whose entries expired in an outage stay in use until they can be back")
{
    Fixture fixture;
    fixture.readPage({{0, "w1", "app:10:1"}, {1, "w2", "app:10:1"}, {2, "w3", "app:10:1"}});
    fixture.clock.advance(2'400ms);
    fixture.failRead();
    fixture.clock.advance(200ms);
    fixture.readPage({{3, "w1", std::nullopt}, {4, "w2", std::nullopt}});
    CHECK(fixture.find("w1"));
    // The store is unavailable once more before the upstreams have registered again.
    fixture.clock.advance(100ms);
    fixture.failRead();
    fixture.clock.advance(1'800ms);
    fixture.readPage();
    fixture.clock.advance(2s);
    fixture.readPage({{5, "w3", std::nullopt}, {6, "w1", "app:10:2"}});
    CHECK(fixture.find("w2"));
    CHECK(fixture.find("w3"));
    fixture.clock.advance(400ms);
    fixture.readPage();
    CHECK(fixture.find("w1"));
    CHECK_FALSE(fixture.find("w2"));
    CHECK_FALSE(fixture.find("w3"));
}

TEST_CASE("an upstream that restarts with its clock set back is followed")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:20:7");
    fixture.applyUpstream("w", "app:10:0");
    fixture.applyUpstream("w", "app:10:1");
    CHECK(fixture.find("w")->report().startTime == 10ms);
    fixture.applyUpstream("w", "app:10:2d");
    CHECK(fixture.find("w")->report().isDraining);
    // A late report of the incarnation before.
    fixture.applyUpstream("w", "app:20:7");
    CHECK(fixture.find("w")->report().isDraining);
}

TEST_CASE("late reports of an earlier incarnation do not replace the one that leaves")
{
    Fixture fixture;
    for (const auto *report : {"app:10:1", "app:10:2", "app:20:0", "app:20:1d"})
        fixture.applyUpstream("w", report);
    for (const auto *late : {"app:10:3", "app:10:4"}) {
        fixture.applyUpstream("w", late);
        CHECK(fixture.find("w")->report().isDraining);
    }
}

TEST_CASE("a restarted upstream is not paused for what the incarnation before it stated")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:1");
    const auto upstream = fixture.find("w");
    const auto now = fixture.clock.now();
    upstream->notices()->refusingUntil = now + 60s;
    upstream->extendPause(now + 1s);
    fixture.applyUpstream("w", "app:20:0");
    CHECK(upstream->pausedUntil() <= now);
}

TEST_CASE("a report with a start in the future hides later reports for one of them only")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:1");
    fixture.applyUpstream("w", "app:9000000000000:2");
    fixture.applyUpstream("w", "app:10:3");
    fixture.applyUpstream("w", "app:10:4d");
    CHECK(fixture.find("w")->report().isDraining);
    CHECK(fixture.find("w")->report().startTime == 10ms);
}

TEST_CASE("a foreign report with a huge sequence hides later reports for one of them only")
{
    const std::string foreign =
        GENERATE("app:10:9007199254740000", "app:10:9007199254740000d", "app:9000000000000:7");
    const int count = GENERATE(1, 3);
    CAPTURE(foreign, count);
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:1");
    fixture.applyUpstream("w", "app:10:2");
    for (int n = 0; n < count; ++n)
        fixture.applyUpstream("w", foreign);
    fixture.applyUpstream("w", "app:10:3");
    fixture.applyUpstream("w", "app:10:4");
    CHECK(fixture.find("w")->report().sequence == 4);
    CHECK_FALSE(fixture.find("w")->report().isDraining);
    int hidden = 0;
    for (int n = 5; n < 200; ++n) {
        fixture.applyUpstream("w", "app:10:" + std::to_string(n) + (n > 100 ? "d" : ""));
        const auto &report = fixture.find("w")->report();
        hidden += static_cast<int>(report.sequence) != n || report.isDraining != (n > 100) ? 1 : 0;
    }
    CHECK(hidden == 0);
}

TEST_CASE("a foreign report with a huge sequence does not hide that an upstream leaves")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:1");
    for (const int n : {2, 3}) {
        fixture.applyUpstream("w", "app:10:" + std::to_string(9'007'199'254'740'000 + n));
        fixture.applyUpstream("w", "app:10:" + std::to_string(n) + "d");
        CHECK(fixture.find("w")->report().isDraining);
    }
    fixture.applyUpstream("w", std::nullopt);
    fixture.applyUpstream("w", "app:10:1");
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("unanswered reports that take effect late do not bring back an upstream that left")
{
    const std::string leaving = GENERATE("app:10:6d", "");
    Fixture fixture;
    for (const auto *report : {"app:10:1", "app:10:2", "app:10:3"})
        fixture.applyUpstream("w", report);
    fixture.applyUpstream("w", leaving.empty() ? "app:10:6" : leaving);
    if (leaving.empty())
        fixture.applyUpstream("w", std::nullopt);
    // The same report with another state is of another writer.
    for (const auto *report : {"app:10:4", "app:10:5", "app:10:6"}) {
        fixture.applyUpstream("w", report);
        CHECK((!fixture.find("w") || fixture.find("w")->report().isDraining));
    }
}

TEST_CASE("reports that are written late, or read again, do not bring back an upstream that left")
{
    Fixture fixture;
    fixture.readPage({{10, "w", "app:10:1"}, {11, "w", "app:10:4"}, {12, "w", "app:10:5"}});
    fixture.readPage({{13, "w", "app:10:8d"}});
    // A sibling's page begins before what is known.
    fixture.readPage({{11, "w", "app:10:4"}, {12, "w", "app:10:5"}});
    CHECK(fixture.find("w")->report().isDraining);
    fixture.readPage({{14, "w", "app:10:3"}, {15, "w", "app:10:5"}, {16, "w", "app:10:6"}});
    CHECK(fixture.find("w")->report().isDraining);
    fixture.readPage({{17, "w", std::nullopt}, {18, "w", "app:10:1"}, {19, "w", "app:10:4"}});
    CHECK_FALSE(fixture.find("w"));
}

TEST_CASE("an old report does not bring a removed upstream back, but a newer one does")
{
    Fixture fixture;
    fixture.applyUpstream("w", "app:10:3");
    fixture.applyUpstream("w", "app:20:7");
    fixture.applyUpstream("w", std::nullopt);
    fixture.applyUpstream("w", "app:20:6");
    fixture.applyUpstream("w", "app:20:7");
    fixture.applyUpstream("w", "app:10:3");
    CHECK_FALSE(fixture.find("w"));
    fixture.applyUpstream("w", "app:20:8");
    REQUIRE(fixture.find("w"));
    fixture.applyUpstream("w", std::nullopt);
    fixture.applyUpstream("w", "app:30:0");
    CHECK(fixture.find("w"));
}

TEST_CASE("an old report does not cancel the removal of an upstream after an outage")
{
    Fixture fixture;
    fixture.readPage({{0, "w", "app:10:5"}});
    fixture.failRead();
    fixture.clock.advance(4s);
    fixture.readPage({{1, "w", std::nullopt}, {2, "w", "app:10:4"}});
    fixture.clock.advance(3s);
    fixture.readPage();
    CHECK_FALSE(fixture.find("w"));
}

namespace {

/// Upstreams that register, leave and restart at a store with outages, and an instance that follows
/// them. Time passes in steps.
class DrainSimulation
{
public:
    explicit DrainSimulation(unsigned seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < m_upstreams.size(); ++n)
            m_upstreams[n].id = "w" + std::to_string(n);
    }

    void run(std::chrono::seconds time)
    {
        for (m_time = 0ms; m_time < time; m_time += Step) {
            changeStore();
            for (auto &upstream : m_upstreams)
                act(upstream);
            read();
            for (const auto &upstream : m_upstreams)
                check(upstream);
            m_fixture.clock.advance(Step);
        }
    }

    int usedTooLate = 0;
    int soundNotUsed = 0;
    int departures = 0;
    int outages = 0;

private:
    static constexpr auto Step = 100ms;
    static constexpr auto ReportInterval = 1'200ms;
    static constexpr auto StableTime = 3'000ms;

    struct Simulated
    {
        std::string id;
        std::chrono::milliseconds born {1'000'000};
        std::uint64_t sequence = 0;
        std::chrono::milliseconds nextReport {0};
        std::chrono::milliseconds lastReport {0};
        std::chrono::milliseconds startedAt {0};
        /// The store has acknowledged that it is leaving.
        std::optional<std::chrono::milliseconds> leftAt;
        std::chrono::milliseconds restartAt {0};
        bool isLeavingStable = false;
        bool isDraining = false;
        bool isListed = false;
        std::vector<std::string> reports;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    std::chrono::milliseconds between(int low, int high)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution(low, high)(m_random));
    }
    bool isUp() const { return m_time >= m_upAgainAt; }
    std::chrono::milliseconds upFor() const { return m_time - m_upAgainAt; }

    void changeStore()
    {
        if (isUp() && upFor() > 1'500ms && chance(0.005)) {
            m_upAgainAt = m_time + between(100, 9'000);
            ++outages;
        }
    }

    void write(Simulated &upstream, std::optional<std::string> value)
    {
        upstream.isListed = value.has_value();
        if (value)
            upstream.lastReport = m_time;
        m_log.push_back({m_log.size(), upstream.id, std::move(value)});
    }

    void report(Simulated &upstream)
    {
        upstream.nextReport = m_time + ReportInterval;
        ++upstream.sequence;
        if (!isUp())
            return;
        auto value = "app:" + std::to_string(upstream.born.count()) + ":"
                     + std::to_string(upstream.sequence) + (upstream.isDraining ? "d" : "");
        upstream.reports.push_back(value);
        write(upstream, std::move(value));
    }

    void act(Simulated &upstream)
    {
        // Entries expire also while the store is down.
        if (upstream.isListed && m_time - upstream.lastReport >= 3 * ReportInterval)
            write(upstream, std::nullopt);
        if (!upstream.leftAt) {
            if (m_time >= upstream.nextReport)
                report(upstream);
            if (isUp() && m_time - upstream.startedAt > 5s && chance(0.003))
                leave(upstream);
            return;
        }
        const auto gone = m_time - *upstream.leftAt;
        if (upstream.isDraining && gone < 3s && m_time >= upstream.nextReport)
            report(upstream);
        if (isUp() && gone > 4s && !upstream.reports.empty() && chance(0.01)) {
            const auto last = upstream.reports.size() - 1;
            write(upstream,
                  upstream.reports[std::uniform_int_distribution<std::size_t>(0, last)(m_random)]);
        }
        if (m_time >= upstream.restartAt)
            restart(upstream);
    }

    void leave(Simulated &upstream)
    {
        ++departures;
        upstream.leftAt = m_time;
        upstream.isLeavingStable = upFor() >= StableTime;
        upstream.restartAt = m_time + between(6'000, 15'000);
        upstream.isDraining = chance(0.5);
        if (upstream.isDraining)
            report(upstream);
        else
            write(upstream, std::nullopt);
    }

    void restart(Simulated &upstream)
    {
        upstream.leftAt.reset();
        upstream.isDraining = false;
        upstream.startedAt = m_time;
        // The clock may have been set back.
        upstream.born = chance(0.3) ? upstream.born - between(1, 5'000) : upstream.born + 10s;
        upstream.sequence = 0;
        upstream.nextReport = m_time;
    }

    void read()
    {
        m_fixture.watcher.applyPendingRemovals();
        if (m_time < m_nextRead)
            return;
        if (!isUp() || chance(0.1)) {
            m_fixture.failRead();
            m_nextRead = m_time + between(100, 300);
            return;
        }
        m_nextRead = m_time + 500ms;
        m_fixture.readPage({m_log.begin() + static_cast<std::ptrdiff_t>(m_read), m_log.end()});
        m_read = m_log.size();
    }

    void check(const Simulated &upstream)
    {
        const auto known = m_fixture.find(upstream.id);
        const bool isUsable = known && !known->report().isDraining;
        if (upstream.leftAt) {
            const bool isBound = upstream.isLeavingStable && isUp() && upFor() >= StableTime;
            usedTooLate += isUsable && isBound && m_time - *upstream.leftAt > 2s ? 1 : 0;
            return;
        }
        // It has registered, and the instance has had the time to read it.
        const bool isSettled = m_time - upstream.startedAt > 15s;
        soundNotUsed += isSettled && !isUsable ? 1 : 0;
    }

    std::minstd_rand m_random;
    Fixture m_fixture;
    std::chrono::milliseconds m_time {0};
    std::chrono::milliseconds m_upAgainAt {0};
    std::chrono::milliseconds m_nextRead {0};
    std::vector<Gateway::FleetRecord> m_log;
    std::size_t m_read = 0;
    std::array<Simulated, 6> m_upstreams;
};

} // namespace

TEST_CASE("upstreams are used in time after they register, and not after the drain bound")
{
    int departures = 0;
    int outages = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        DrainSimulation simulation(seed);
        simulation.run(300s);
        INFO("seed " << seed);
        CHECK(simulation.usedTooLate == 0);
        CHECK(simulation.soundNotUsed == 0);
        departures += simulation.departures;
        outages += simulation.outages;
    }
    CHECK(departures > 500);
    CHECK(outages > 100);
}
