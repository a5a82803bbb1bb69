#include "GatewayFixture.h"

#include <LibGateway/FleetMessages_generated.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <limits>
#include <random>
#include <string>
#include <vector>

namespace asio = boost::asio;
namespace Wire = Gateway::Wire;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t n = 0; n < count; ++n)
        result += text;
    return result;
}

/// Returns the worker's entry with another value of a field.
std::string entryWith(const WorkerStandIn &worker, const std::string &field,
                      const boost::json::value &value)
{
    auto entry = boost::json::parse(worker.entry()).as_object();
    entry[field] = value;
    return boost::json::serialize(entry);
}

/// Writes odd entries of a worker: under its id, under others, and without a whole id.
void putOddEntries(StandIns::StoreStandIn &store, const WorkerStandIn &worker)
{
    constexpr auto Topic = "keyed.servers";
    const auto sound = worker.entry();
    const auto rest = sound.substr(1);
    std::vector<std::string> odd {
        "\x01\x02",
        "null",
        "[]",
        sound.substr(0, sound.size() / 2),
        repeated("[", 100'000),
        repeated(R"({"a":)", 100'000),
        R"({"unknown":)" + repeated("[", 5'000) + repeated("]", 5'000) + "," + rest,
        entryWith(worker, "Zone", "\xff"),
        entryWith(worker, "State", "leaving"),
        entryWith(worker, "Models", 7),
        entryWith(worker, "Slots", std::numeric_limits<std::uint64_t>::max()),
        entryWith(worker, "Slots", std::uint64_t {1} << 32U),
        entryWith(worker, "Slots", -1),
        entryWith(worker, "Seq", std::numeric_limits<std::int64_t>::max()),
        entryWith(worker, "Seq", 1e300),
        entryWith(worker, "born", std::numeric_limits<std::int64_t>::max()),
        entryWith(worker, "born", std::uint64_t {1} << 52U),
        entryWith(worker, "born", -1),
    };
    for (const auto *address :
         {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-1", "x", ""})
        odd.push_back(entryWith(worker, "Address", boost::json::value(address)));
    for (const auto &value : odd) {
        store.put(Topic, worker.id(), value);
        store.put(Topic, "odd", value);
    }
    for (const std::string &key :
         {std::string(), std::string("o d&d#"), std::string("o\r\nX: 1"), std::string("o\xff"),
          std::string("o\0d", 3), std::string(255, 'o')})
        store.put(Topic, key, R"({"Service":7})");
    for (const std::string bytes : {"", "\x09w", "\xff"})
        store.putBytes(Topic, bytes);
    // The last entry of the id stays in force, for those that only read the newest ones.
    store.put(Topic, worker.id(), sound);
}

/// Returns whether all of some requests are answered with success.
bool serves(const GatewayFixture &fixture)
{
    constexpr int Requests = 20;
    int served = 0;
    for (int n = 0; n < Requests; ++n)
        served +=
            fixture.send(GatewayFixture::request("/calls/a", "id-" + std::to_string(n))).status
                    == 200
                ? 1
                : 0;
    CHECK(served == Requests);
    return served == Requests;
}

std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Table>
std::string journalRecord(flatbuffers::FlatBufferBuilder &builder, Wire::Entry kind,
                          flatbuffers::Offset<Table> entry)
{
    builder.Finish(Wire::CreateJournalRecord(builder, kind, entry.Union()));
    return bytesOf(builder);
}

std::string oddMember(const char *instance, const char *endpoint)
{
    flatbuffers::FlatBufferBuilder builder;
    return journalRecord(builder, Wire::Entry::Member,
                         Wire::CreateMemberDirect(builder, instance, nullptr, endpoint));
}

std::vector<std::string> oddJournalRecords()
{
    constexpr auto MaxTime = std::numeric_limits<std::uint64_t>::max();
    std::vector<std::string> odd {"", "x", std::string(60'000, '\xff'), std::string(4, '\0')};
    for (const auto *endpoint :
         {static_cast<const char *>(nullptr), "", "127.0.0.1:0", "x:1", "127.0.0.1:65536"}) {
        odd.push_back(oddMember(nullptr, endpoint));
        odd.push_back(oddMember("", endpoint));
        odd.push_back(oddMember("odd", endpoint));
        odd.push_back(oddMember("edge-1", endpoint));
    }
    flatbuffers::FlatBufferBuilder parts;
    const std::vector<Wire::PoisonPart> poison {
        {1, std::numeric_limits<std::int32_t>::max(), std::numeric_limits<std::uint32_t>::max()},
        {2, std::numeric_limits<std::int32_t>::min(), 0}};
    odd.push_back(journalRecord(parts, Wire::Entry::PoisonParts,
                                Wire::CreatePoisonPartsDirect(parts, &poison, MaxTime)));
    flatbuffers::FlatBufferBuilder lease;
    odd.push_back(journalRecord(lease, Wire::Entry::Lease, Wire::CreateLease(lease)));
    flatbuffers::FlatBufferBuilder breaks;
    odd.push_back(journalRecord(breaks, Wire::Entry::Breaks, Wire::CreateBreaks(breaks)));
    flatbuffers::FlatBufferBuilder empty;
    empty.Finish(Wire::CreateJournalRecord(empty));
    odd.push_back(bytesOf(empty));
    return odd;
}

std::vector<std::string> oddDatagrams()
{
    constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
    constexpr std::size_t MaxDatagram = 65'507;
    std::vector<std::string> odd {"", "x", std::string(MaxDatagram, '\xff'),
                                  std::string(MaxDatagram, '\0')};
    for (const auto *identifier : {"JSEQ", "JSQT"}) {
        odd.push_back(std::string(4, '\0') + identifier);
        odd.push_back(std::string("\x08\0\0\0", 4) + identifier + std::string(100, '\xff'));
    }
    for (const auto *instance : {static_cast<const char *>(nullptr), "", "odd", "edge-1"}) {
        flatbuffers::FlatBufferBuilder builder;
        const std::vector<Wire::Load> loads {{1, Max, Max, Max, Max, Max}, {1, 0, Max, Max, 0, 0}};
        builder.Finish(Wire::CreateSiblingReportDirect(
            builder, instance, std::numeric_limits<std::uint64_t>::max(), 1, &loads, nullptr,
            nullptr, nullptr, nullptr, "", "127.0.0.1:0", false, static_cast<Wire::Scope>(9), Max));
        odd.push_back(bytesOf(builder));
    }
    std::mt19937 random(1);
    for (int n = 0; n < 200; ++n) {
        auto datagram = odd[random() % odd.size()].substr(0, 400);
        if (!datagram.empty())
            datagram[random() % datagram.size()] = static_cast<char>(random());
        odd.push_back(datagram);
    }
    return odd;
}

} // namespace

TEST_CASE("a gateway follows the list of upstreams past odd entries of another writer")
{
    GatewayFixture fixture;
    auto &leaving = fixture.addWorker("w-1", "app");
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    const bool isOddAtStart = GENERATE(true, false);
    CAPTURE(isOddAtStart);
    if (isOddAtStart)
        putOddEntries(fixture.store, leaving);
    fixture.startGateway();
    REQUIRE(serves(fixture));
    if (!isOddAtStart)
        putOddEntries(fixture.store, leaving);
    auto &added = fixture.addWorker("w-3", "app");
    fixture.store.put("keyed.servers", "w-1", leaving.entry("draining"));
    CHECK(GatewayFixture::eventually([&] {
        fixture.send(GatewayFixture::request("/calls/a", "id"));
        return !added.requests().empty();
    }));
    const auto before = leaving.requests().size();
    CHECK(serves(fixture));
    CHECK(leaving.requests().size() == before);
    CHECK(fixture.readiness() == 200);
}

TEST_CASE("a gateway keeps its upstreams and follows the configuration past odd records")
{
    GatewayFixture fixture;
    auto &worker = fixture.addWorker("w-1", "app");
    fixture.configure(1);
    fixture.startGateway();
    REQUIRE(serves(fixture));
    for (const std::string &odd :
         {std::string(), std::string("\x01"), std::string("null"), repeated("[", 100'000),
          std::string(R"({"Version":1e400})"), std::string(R"({"Version":18446744073709551615})"),
          std::string(R"({"Version":9223372036854775807,"Routes":[]})"),
          std::string(R"({"Version":5,"Limits":{"IdleTimeoutMs":-1}})"),
          std::string(R"({"Version":5,"Limits":7})")}) {
        fixture.store.put("keyed.op", "config", odd);
        fixture.store.put("keyed.op", "version/model", odd);
        fixture.store.put("keyed.op", "odd", odd);
    }
    for (const std::string bytes : {"", "\x09w", "\xff"})
        fixture.store.putBytes("keyed.op", bytes);
    // Long enough for the records to be read.
    std::this_thread::sleep_for(1s);
    CHECK(serves(fixture));
    fixture.configure(
        2, R"([{"Name":"moved","Host":"a.example","PathPrefix":"/moved/","Kind":"idempotent",)"
           R"("TimeoutMs":9223372036854775807,"Service":"app"}])");
    CHECK(GatewayFixture::eventually(
        [&] { return fixture.send(GatewayFixture::request("/moved/a", "id")).status == 200; }));
    CHECK(fixture.send(GatewayFixture::request("/calls/a", "id")).status == 404);
    CHECK_FALSE(worker.requests().empty());
}

TEST_CASE("gateways exchange leases and announcements past odd records of the journal")
{
    GatewayFixture fixture;
    auto &engine = fixture.addWorker("w-1", "llm");
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    const auto put = [&fixture] {
        for (const auto &record : oddJournalRecords())
            fixture.store.putBytes("journal", record);
    };
    put();
    fixture.startGateway();
    put();
    const auto before = fixture.store.count("journal");
    fixture.store.put("keyed.op", "version/model", R"({"Model":"model","Version":2})");
    CHECK(GatewayFixture::eventually([&] { return engine.weights() == 2; }));
    CHECK(fixture.store.count("journal") > before);
    CHECK(serves(fixture));
}

TEST_CASE("a gateway serves and hears its siblings after odd datagrams")
{
    GatewayFixture fixture;
    fixture.addWorker("w-1", "app");
    fixture.configure(1);
    const auto port = GatewayFixture::freePort();
    auto &gateway = fixture.startGateway({"edge-1", 5'000, 8, port});
    asio::io_context context;
    asio::ip::udp::socket socket(context, {asio::ip::address_v4::loopback(), 0});
    for (const auto &datagram : oddDatagrams()) {
        boost::system::error_code ec;
        socket.send_to(asio::buffer(datagram), {asio::ip::address_v4::loopback(), port}, 0, ec);
    }
    CHECK(serves(fixture));
    const auto &other = fixture.startGateway({"edge-2", 5'000, 8, GatewayFixture::freePort()});
    CHECK_NOTHROW(gateway.awaitLine("\"sibling\":\"edge-2\""));
    CHECK(other.isRunning());
    CHECK(serves(fixture));
}
