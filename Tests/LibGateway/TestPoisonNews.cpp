#include <LibCore/ManualClock.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/SiblingExchange.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::PoisonNews;

namespace {

constexpr std::uint64_t Part = 77;

Http::Endpoint endpointOf(const std::string &name)
{
    return {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(9'000 + name[0])};
}

/// An instance of a fleet whose clocks show the same time.
struct Instance
{
    Instance(const Core::ManualClock &clock, const std::string &name,
             const std::string &dataCentre = "n", unsigned linkMegabits = 0)
        : clock(clock)
        , members({Core::InstanceId(name), dataCentre, endpointOf(name), linkMegabits}, clock)
        , news(table, clock)
        , exchange(context, {clock, members, fleet, stores, weights, news})
    { }

    /// Returns whether the table has a casualty with the part. The part counts as answered.
    bool knowsCasualty(std::uint64_t part)
    {
        table.noteAnswered(std::span(&part, 1), clock.now());
        const auto suspects = table.takeAnsweredSuspects(clock.now());
        return std::any_of(suspects.begin(), suspects.end(),
                           [part](const auto &it) { return it.suspect == part; });
    }
    bool refuses(std::uint64_t part) const
    {
        return table.findPoison(std::span(&part, 1), clock.now()).has_value();
    }

    const Core::ManualClock &clock;
    asio::io_context context;
    Gateway::UpstreamFleet fleet;
    Gateway::KvCacheStores stores;
    Gateway::WeightsTargets weights;
    Gateway::PoisonTable table;
    Gateway::FleetMembers members;
    PoisonNews news;
    Gateway::SiblingExchange exchange;
};

/// A log that nobody reads.
class NoLog final : public Gateway::FleetLog
{
public:
    asio::awaitable<Gateway::FleetPage> newest(Gateway::FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }
    asio::awaitable<Gateway::FleetPage> read(Gateway::FleetTopic, Gateway::LogPosition,
                                             std::chrono::milliseconds) override
    {
        co_return Gateway::FleetPage();
    }
    asio::awaitable<Gateway::AppendOutcome> append(Gateway::FleetTopic, std::string,
                                                   std::optional<Gateway::LogPosition>) override
    {
        co_return Gateway::AppendOutcome();
    }
};

struct Journal
{
    Journal(const Core::ManualClock &clock, const std::string &name)
        : members({Core::InstanceId(name), "n", endpointOf(name), 0}, clock)
        , journal(log, clock, settings, table, members)
        , clock(clock)
    {
        settings.instance = Core::InstanceId(name);
    }
    bool refuses(std::uint64_t part) const
    {
        return table.findPoison(std::span(&part, 1), clock.now()).has_value();
    }

    NoLog log;
    Gateway::GatewaySettings settings;
    Gateway::PoisonTable table;
    Gateway::FleetMembers members;
    Gateway::FleetJournal journal;
    const Core::ManualClock &clock;
};

const Gateway::Wire::PoisonNews *newsIn(const std::string &report)
{
    return flatbuffers::GetRoot<Gateway::Wire::SiblingReport>(report.data())->poison_news();
}

std::size_t casualtiesIn(const std::string &report)
{
    const auto *news = newsIn(report);
    return news && news->casualties() ? news->casualties()->size() : 0;
}

/// The lists of a report that another instance could have sent.
struct ForeignNews
{
    std::size_t casualties = 0;
    std::size_t partsOfEach = 1;
    std::size_t answered = 0;
    std::size_t poison = 0;

    std::string report() const
    {
        namespace Wire = Gateway::Wire;
        flatbuffers::FlatBufferBuilder builder;
        std::vector<flatbuffers::Offset<Wire::Casualty>> lost;
        const std::vector<std::uint64_t> parts(partsOfEach, Part);
        for (std::size_t n = 0; n < casualties; ++n)
            lost.push_back(Wire::CreateCasualtyDirect(builder, n, n, &parts, 0));
        std::vector<Wire::AnsweredPart> answers;
        for (std::size_t n = 0; n < answered; ++n)
            answers.emplace_back(n, 0);
        std::vector<Wire::PoisonPart> poisonParts;
        for (std::size_t n = 0; n < poison; ++n)
            poisonParts.emplace_back(Part + n, 30'000, 1);
        const auto news = Wire::CreatePoisonNewsDirect(builder, &lost, &answers, &poisonParts);
        builder.Finish(Wire::CreateSiblingReportDirect(
            builder, "foreign", 1, 1, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr,
            false, Wire::Scope::Instance, 0, nullptr, nullptr, news));
        return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
    }
};

} // namespace

TEST_CASE("a casualty reaches siblings although datagrams are lost, and is repeated three times")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Instance one(clock, "one");
    Instance other(clock, "other");
    one.news.publish({1, 2, {Part}});
    // Two datagrams get lost.
    CHECK(casualtiesIn(one.exchange.encode()) == 1);
    CHECK(casualtiesIn(one.exchange.encode()) == 1);
    CHECK_FALSE(other.knowsCasualty(Part));
    clock.advance(200ms);
    other.exchange.apply(one.exchange.encode());
    CHECK(other.knowsCasualty(Part));
    CHECK(casualtiesIn(one.exchange.encode()) == 0);
    // A casualty that is known is not sent again.
    one.news.publish({1, 2, {Part}});
    CHECK(casualtiesIn(one.exchange.encode()) == 0);
}

TEST_CASE("answered suspects and poison parts reach siblings")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Instance one(clock, "one");
    Instance other(clock, "other");
    one.table.notePoison({Part, 30s, 1}, clock.now());
    other.exchange.apply(one.exchange.encode());
    CHECK(other.refuses(Part));
    clock.advance(1s);
    // The sibling knows the casualty, this instance knows the later answer.
    const Gateway::Casualty casualty {1, 2, {Part}};
    one.table.noteCasualty(casualty, clock.now());
    other.table.noteCasualty(casualty, clock.now());
    clock.advance(3s);
    const auto part = Part;
    one.table.noteAnswered(std::span(&part, 1), clock.now());
    CHECK_FALSE(one.refuses(Part));
    CHECK(other.refuses(Part));
    CHECK_FALSE(newsIn(one.exchange.encode()) == nullptr);
    other.exchange.apply(one.exchange.encode());
    CHECK_FALSE(other.refuses(Part));
}

TEST_CASE("in a large fleet a casualty passes the hubs once and reaches every data centre")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Instance northHub(clock, "north", "n", 200);
    Instance northMember(clock, "onother", "n", 10);
    Instance southHub(clock, "south", "s", 200);
    Instance southMember(clock, "touther", "s", 10);
    for (auto *instance : {&northHub, &northMember, &southHub, &southMember}) {
        for (int n = 0; n < 20; ++n)
            instance->members.noteAnnounced(
                {Core::InstanceId("quiet-" + std::to_string(n)), n % 2 == 0 ? "n" : "s", {}, 500});
    }
    northMember.news.publish({1, 2, {Part}});
    std::size_t betweenHubs = 0;
    std::size_t toMember = 0;
    for (int round = 0; round < 10; ++round) {
        const auto own = northMember.exchange.encode();
        northHub.exchange.apply(own);
        const auto sum = northHub.exchange.encodeDataCentre();
        betweenHubs += casualtiesIn(sum);
        southHub.exchange.apply(sum);
        const auto remote = southHub.exchange.encodeRemoteSum();
        toMember += casualtiesIn(remote);
        southMember.exchange.apply(remote);
        // Nothing returns to the data centre that reported it.
        CHECK(casualtiesIn(southHub.exchange.encodeDataCentre()) == 0);
        CHECK(casualtiesIn(southHub.exchange.encode()) == 0);
        CHECK(casualtiesIn(southMember.exchange.encode()) == 0);
        clock.advance(100ms);
    }
    CHECK(betweenHubs == PoisonNews::Repetitions);
    CHECK(toMember == PoisonNews::Repetitions);
    CHECK(northHub.knowsCasualty(Part));
    CHECK(southHub.knowsCasualty(Part));
    CHECK(southMember.knowsCasualty(Part));
}

TEST_CASE("a restarted instance knows a poison part from a record or an announcement")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Journal one(clock, "one");
    one.table.notePoison({Part, 30s, 1}, clock.now());
    const auto record = one.journal.poisonRecord();
    for (const auto &bytes :
         {record, one.journal.announcement(), one.journal.announcementForAll()}) {
        Journal other(clock, "other");
        other.journal.apply({1, {}, bytes});
        CHECK(other.refuses(Part));
        // Its own earlier announcement counts as well.
        Journal again(clock, "one");
        again.journal.apply({1, {}, bytes});
        CHECK(again.refuses(Part));
    }
    // The time since the record was written counts.
    clock.advance(20s);
    Journal later(clock, "later");
    later.journal.apply({1, {}, record});
    REQUIRE(later.table.causes(clock.now()).size() == 1);
    CHECK(later.table.causes(clock.now()).front().remaining <= 10s);
    // Announcements would have repeated what is still valid.
    clock.advance(41s);
    Journal last(clock, "last");
    last.journal.apply({1, {}, record});
    CHECK_FALSE(last.refuses(Part));
}

TEST_CASE("news about poison parts that are malformed or exceed their limits are ignored")
{
    Core::ManualClock clock;
    clock.advance(1h);
    const auto apply = [&clock](const ForeignNews &news) {
        auto instance = std::make_unique<Instance>(clock, "one");
        instance->exchange.apply(news.report());
        return instance;
    };
    // Within the limits.
    CHECK(apply({PoisonNews::MaxCasualties, 1, 0, 0})->knowsCasualty(Part));
    CHECK(apply({0, 0, 0, PoisonNews::MaxPoisonParts})->refuses(Part));
    // Beyond them.
    CHECK_FALSE(apply({PoisonNews::MaxCasualties + 1, 1, 0, 0})->knowsCasualty(Part));
    CHECK_FALSE(apply({2, PoisonNews::MaxCasualtyParts, 0, 0})->knowsCasualty(Part));
    CHECK_FALSE(apply({1, 1, PoisonNews::MaxAnsweredParts + 1, 0})->knowsCasualty(Part));
    CHECK_FALSE(apply({0, 0, 0, PoisonNews::MaxPoisonParts + 1})->refuses(Part));
    CHECK_FALSE(apply({1, 0, 0, 0})->knowsCasualty(Part));
    // A report that was cut off.
    auto cut = ForeignNews {1, 1, 0, 1}.report();
    cut.resize(cut.size() / 2);
    Instance instance(clock, "one");
    instance.exchange.apply(cut);
    CHECK_FALSE(instance.knowsCasualty(Part));
    CHECK_FALSE(instance.refuses(Part));
}

TEST_CASE("the news about poison parts add few bytes to a report, however many engines crash")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Instance one(clock, "one");
    const auto empty = one.exchange.encode().size();
    std::vector<std::uint64_t> parts;
    for (std::uint64_t n = 0; n < 1'000; ++n)
        parts.push_back(n);
    for (std::uint64_t n = 0; n < 2'000; ++n) {
        one.news.publish({n % 50, n, parts});
        one.table.notePoison({10'000 + n, 30s, 1}, clock.now());
        one.table.noteCasualty({n % 50, n, {n}}, clock.now());
        one.table.noteAnswered(std::span(&n, 1), clock.now());
    }
    for (int report = 0; report < 50; ++report) {
        const auto bytes = one.exchange.encode();
        CHECK(bytes.size() - empty < 6'000);
        const auto *news = newsIn(bytes);
        REQUIRE(news);
        CHECK(news->casualties()->size() <= PoisonNews::MaxCasualties);
        CHECK(news->answered()->size() <= PoisonNews::MaxAnsweredParts);
        CHECK(news->poison()->size() <= PoisonNews::MaxPoisonParts);
        clock.advance(100ms);
    }
}

TEST_CASE("one instance of a fleet tries a poison part again, also in a large one")
{
    for (const int count : {1, 5, 40}) {
        Core::ManualClock clock;
        clock.advance(1h);
        std::vector<Gateway::FleetMember> all;
        all.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n)
            all.push_back({Core::InstanceId("i" + std::to_string(n)), n % 2 == 0 ? "n" : "s", {}});
        for (int part = 0; part < 20; ++part) {
            int trying = 0;
            for (const auto &self : all) {
                Gateway::FleetMembers members(self, clock);
                for (const auto &other : all) {
                    // In a large fleet datagrams stay within the data centre.
                    if (count <= 16 || other.dataCentre == self.dataCentre)
                        members.noteDatagram(other);
                    else
                        members.noteAnnounced(other);
                }
                trying += members.isFirst("part " + std::to_string(part)) ? 1 : 0;
            }
            CHECK(trying == 1);
        }
    }
}
