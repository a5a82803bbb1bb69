#include "HangingLog.h"

#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/CacheSnapshot.h>
#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/LogRelay.h>
#include <LibGateway/QuotaExchange.h>
#include <LibGateway/SiblingExchange.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <string>
#include <vector>

namespace asio = boost::asio;
namespace Wire = Gateway::Wire;
using namespace std::chrono_literals;

namespace {

constexpr int Iterations = 5'000;
constexpr auto Max32 = std::numeric_limits<std::uint32_t>::max();
constexpr auto Max64 = std::numeric_limits<std::uint64_t>::max();

Http::Endpoint endpointOf(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// All that an instance decodes of its siblings and of the journal.
struct Instance
{
    Core::ManualClock clock;
    asio::io_context context;
    Gateway::GatewaySettings settings;
    Gateway::UpstreamFleet fleet;
    Gateway::KvCacheStores stores;
    Gateway::WeightsTargets weights;
    Gateway::PoisonTable poison;
    Gateway::FleetMembers members {{Core::InstanceId("self"), "a", endpointOf(9'000)}, clock};
    Gateway::PoisonNews news {poison, clock};
    GatewayTests::HangingLog log;
    Gateway::FleetJournal journal {log, clock, settings, poison, members};
    Gateway::SiblingExchange exchange {context, {clock, members, fleet, stores, weights, news}};
    Gateway::EngineQueueExchange queues {context,
                                         {clock, members, fleet, [](const auto &) { return 50.0; },
                                          [](const auto &, std::string_view) {}}};
    Gateway::QuotaExchange quotas {context,
                                   {clock, members, [](const auto &, std::string_view) {}}};

    Instance()
    {
        settings.instance = Core::InstanceId("self");
        clock.advance(24h);
        Gateway::UpstreamReport report;
        report.id = Core::UpstreamId("w1");
        report.service = "llm";
        report.weights["m"] = 1;
        fleet.apply(report);
        engine().prefixCache().setCapacity(100'000);
        quotas.configure({{"team", {100, 200}}}, 2);
    }
    Gateway::Upstream &engine() const { return *fleet.find(Core::UpstreamId("w1")); }
    std::uint64_t hash() const { return Gateway::UpstreamFleet::hashOf(Core::UpstreamId("w1")); }

    /// Lets everything that decodes bytes decode them.
    void apply(const std::string &bytes)
    {
        exchange.apply(bytes);
        queues.apply(bytes, endpointOf(9'001));
        quotas.apply(bytes, endpointOf(9'001));
        journal.apply({++m_offset, {}, bytes});
        Gateway::applyCacheSnapshot(bytes, fleet, stores);
        const auto page = Gateway::LogRelay::decode(bytes, 5, clock.now());
        if (page && (page.value().asOf < clock.now() - 2h || page.value().asOf > clock.now() + 1h))
            FAIL("the age of a log page is out of bounds");
    }

private:
    std::uint64_t m_offset = 0;
};

std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string siblingReport(std::uint64_t upstream)
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::Load> loads {{upstream, 10, 5, 1, 2, 20}};
    const std::vector<Wire::KeptPart> parts {{upstream, 7, 100}};
    const std::vector<Wire::Weights> weights {{upstream, Core::hash64("m"), 2}};
    const std::vector<Wire::Hold> holds {{upstream, 500}};
    const std::vector<Wire::StoreLife> stores {{3, 4}};
    const std::vector<Wire::NamedWeights> named {{Core::hash64("m"), 2, 100}};
    const std::vector<std::uint64_t> ids {1, 2, 3};
    const std::vector casualties {Wire::CreateCasualtyDirect(builder, 1, 2, &ids, 10, true)};
    const std::vector<Wire::AnsweredPart> answered {{7, 10}};
    const std::vector<Wire::PoisonPart> poison {{8, 1'000, 1}};
    const auto news = Wire::CreatePoisonNewsDirect(builder, &casualties, &answered, &poison);
    const std::vector<std::uint64_t> unreachable {upstream};
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, "other", 1, 2, &loads, &parts, &weights, &holds, &stores, "b", "127.0.0.1:9001",
        false, Wire::Scope::DataCentre, 100, &unreachable, &named, news));
    return bytesOf(builder);
}

std::string queueMessage(std::uint64_t upstream)
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::QueueAsk> asks {{1, upstream, 100, 200, 4'000, true}};
    const std::vector<Wire::QueueAnswer> answers {{1, {upstream, 1, 1, 1, 1, 1}}};
    const std::vector<Wire::QueueNote> notes {{1, upstream, Wire::QueueStep::FirstToken}};
    builder.Finish(Wire::CreateQueueMessageDirect(builder, 7, &asks, &answers, &notes), "JSEQ");
    return bytesOf(builder);
}

std::string quotaMessage()
{
    flatbuffers::FlatBufferBuilder builder;
    const auto team = Core::hash64("team");
    const std::vector<Wire::QuotaMove> moves {{1, team, 5, Wire::QuotaStep::Ask},
                                              {2, team, 5, Wire::QuotaStep::Grant},
                                              {3, team, 5, Wire::QuotaStep::Collect},
                                              {4, team, 5, Wire::QuotaStep::Gift}};
    builder.Finish(Wire::CreateQuotaMessageDirect(builder, 7, &moves), "JSQT");
    return bytesOf(builder);
}

std::string memberRecord()
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::uint64_t> digests {1, 2};
    const std::vector<Wire::PoisonPart> parts {{8, 1'000, 1}};
    const auto poison = Wire::CreatePoisonPartsDirect(builder, &parts, 1'700'086'400'000);
    const std::vector members {
        Wire::CreateMemberDirect(builder, "other", "b", "127.0.0.1:9001", &digests, 7, poison)};
    const auto list = Wire::CreateMembersDirect(builder, &members);
    builder.Finish(Wire::CreateJournalRecord(builder, Wire::Entry::Members, list.Union()));
    return bytesOf(builder);
}

std::string cacheSnapshot(std::uint64_t upstream)
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::PartEntry> parts {{7, 100}, {8, 100}};
    const std::vector holders {Wire::CreateHolderBeliefsDirect(builder, upstream, 5, &parts)};
    builder.Finish(Wire::CreateBeliefsDirect(builder, &holders));
    return bytesOf(builder);
}

std::string logPage()
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::uint8_t> value {1, 2, 3};
    const std::vector records {Wire::CreateLogRecordDirect(builder, "w-1", &value),
                               Wire::CreateLogRecordDirect(builder, nullptr, nullptr)};
    builder.Finish(Wire::CreateLogPageDirect(builder, 9, 100, 100, 100, &records));
    return bytesOf(builder);
}

/// Changes a few bytes, or cuts or extends the bytes.
std::string mutated(std::string bytes, std::mt19937 &random)
{
    const auto changes = random() % 4 + 1;
    for (unsigned n = 0; n < changes && !bytes.empty(); ++n) {
        const auto at = random() % bytes.size();
        constexpr std::array<unsigned char, 6> Odd {0, 1, 0x7f, 0x80, 0xfe, 0xff};
        switch (random() % 6) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
            break;
        case 2:
            for (auto i = at; i < std::min(bytes.size(), at + 8); ++i)
                bytes[i] = static_cast<char>(Odd.at(random() % Odd.size()));
            break;
        case 3:
            bytes.resize(at);
            break;
        case 4:
            bytes.insert(at, bytes.substr(random() % bytes.size(), 8));
            break;
        default:
            bytes.resize(bytes.size() + random() % 16);
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("mutated messages and records of other instances are applied or skipped")
{
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    const auto seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    Instance instance;
    const std::vector<std::string> corpus {siblingReport(instance.hash()),
                                           queueMessage(instance.hash()),
                                           quotaMessage(),
                                           memberRecord(),
                                           cacheSnapshot(instance.hash()),
                                           logPage()};
    for (int n = 0; n < Iterations; ++n) {
        CAPTURE(seed, n);
        instance.apply(mutated(corpus[random() % corpus.size()], random));
        instance.clock.advance(1ms);
        instance.context.poll();
        instance.exchange.dropSilent();
        instance.members.dropExpired();
        instance.queues.dropExpired();
        instance.exchange.encode();
        instance.journal.announcement();
    }
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Info);
    // Sound messages still hold.
    instance.clock.advance(1h);
    instance.apply(memberRecord());
    CHECK(instance.members.siblings().contains(Core::InstanceId("other")));
}

TEST_CASE("a pause that a sibling reports is bounded")
{
    Instance instance;
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::Hold> holds {{instance.hash(), Max32}};
    builder.Finish(
        Wire::CreateSiblingReportDirect(builder, "other", 1, 2, nullptr, nullptr, nullptr, &holds));
    instance.exchange.apply(bytesOf(builder));
    CHECK(instance.engine().pausedUntil() > instance.clock.now());
    CHECK(instance.engine().pausedUntil() <= instance.clock.now() + 1min);
}

TEST_CASE("loads whose parts contradict each other are bounded")
{
    Instance instance;
    flatbuffers::FlatBufferBuilder builder;
    // Urgent tokens are a part of all waiting tokens.
    const std::vector<Wire::Load> loads {{instance.hash(), 10, Max32, 1, 1, 1}};
    builder.Finish(Wire::CreateSiblingReportDirect(builder, "other", 1, 2, &loads));
    instance.exchange.apply(bytesOf(builder));
    instance.engine().noteSent(5, false);
    CHECK(instance.engine().tokensAhead(false) <= 2ULL * Max32);
    CHECK(instance.engine().tokensAhead(true) <= 2ULL * Max32);
}

TEST_CASE("a member without a name or address in the journal is no member")
{
    Instance instance;
    const auto announce = [&instance](const char *name, const char *endpoint) {
        flatbuffers::FlatBufferBuilder builder;
        const auto member = Wire::CreateMemberDirect(builder, name, "a", endpoint);
        builder.Finish(Wire::CreateJournalRecord(builder, Wire::Entry::Member, member.Union()));
        instance.journal.apply({1, {}, bytesOf(builder)});
    };
    announce(nullptr, "127.0.0.1:9001");
    announce("", "127.0.0.1:9001");
    announce("x", nullptr);
    announce("self", "127.0.0.1:9001");
    CHECK(instance.members.siblings().empty());
    announce("x", "127.0.0.1:9001");
    CHECK(instance.members.siblings().size() == 1);
}

TEST_CASE("a member without a name in a datagram is no member")
{
    Instance instance;
    const auto report = [&instance](const char *name, const char *endpoint) {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(Wire::CreateSiblingReportDirect(builder, name, Max64, 2, nullptr, nullptr,
                                                       nullptr, nullptr, nullptr, "a", endpoint));
        instance.exchange.apply(bytesOf(builder));
    };
    report(nullptr, "127.0.0.1:9001");
    report("", "127.0.0.1:9001");
    report("self", "127.0.0.1:9001");
    CHECK(instance.members.siblings().empty());
    report("y", "127.0.0.1:9001");
    CHECK(instance.members.siblings().size() == 1);
}
