#include "../StandIns/RawServer.h"
#include "Mutator.h"
#include "SoundRecords.h"

#include <LibCore/Base64.h>
#include <LibCore/EventLog.h>
#include <LibCore/IoThreads.h>

#include <PlatformLog.h>
#include <PlatformRecords.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <cmath>
#include <mutex>
#include <string>
#include <variant>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformPartsTests::Mutator;

namespace {

constexpr int Iterations = 20'000;
constexpr std::uint64_t MaxExact = (std::uint64_t {1} << 53U) - 1;
constexpr auto MaxTime = 10 * 366 * 24h;

/// Lets only errors be logged during a test.
class QuietLog
{
public:
    QuietLog() { Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error); }
    ~QuietLog() { Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Info); }
    QuietLog(const QuietLog &) = delete;
    QuietLog &operator=(const QuietLog &) = delete;
};

bool isSane(const Gateway::UpstreamReport &report)
{
    return !report.id.value().empty() && report.endpoint.port() != 0 && report.sequence <= MaxExact
           && report.startTime >= 0ms && report.startTime <= std::chrono::nanoseconds::max();
}

bool isRate(double number)
{
    return std::isfinite(number) && number >= 0;
}

bool isTime(std::chrono::milliseconds time)
{
    return time >= 0ms && time <= MaxTime;
}

bool isSane(const Gateway::GatewayConfiguration &configuration)
{
    bool isSane = configuration.version <= MaxExact && isTime(configuration.limits.headerTime)
                  && isTime(configuration.limits.idleTime)
                  && configuration.limits.headerBytes <= 0xffff'ffff;
    for (const auto &route : configuration.routes)
        isSane = isSane && isTime(route.timeout) && isTime(route.target) && isTime(route.gapTarget);
    for (const auto &[name, service] : configuration.services) {
        isSane = isSane && isRate(service.kvCacheStoreLinkMegabits)
                 && (!service.engine || isRate(service.engine->linkMegabitsPerSecond))
                 && (!service.kvCacheStore || service.kvCacheStore->port() != 0);
    }
    for (const auto &tenant : configuration.tenants)
        isSane = isSane && isRate(tenant.unitsPerSecond) && isRate(tenant.unitBurst);
    return isSane;
}

bool isSane(const Gateway::OperatorRecord &record)
{
    if (const auto *configuration = std::get_if<Gateway::GatewayConfiguration>(&record))
        return isSane(*configuration);
    const auto *target = std::get_if<Gateway::WeightsTarget>(&record);
    return !target || target->version <= MaxExact;
}

} // namespace

TEST_CASE("mutated records are decoded to sane values or refused without other exceptions")
{
    const QuietLog quiet;
    const auto seed = GENERATE(1U, 2U, 3U);
    Mutator mutator(seed);
    const Site::PlatformRecords records;
    int decoded = 0;
    for (int n = 0; n < Iterations; ++n) {
        const auto upstream = mutator.mutated(PlatformPartsTests::SoundUpstream);
        CAPTURE(seed, n, upstream);
        const auto report = records.decodeUpstream({1, mutator.mutated("w-1"), upstream});
        decoded += report ? 1 : 0;
        if (report && !isSane(report.value()))
            FAIL("an upstream's values are out of bounds");
        const auto configuration = mutator.mutated(PlatformPartsTests::SoundConfiguration);
        CAPTURE(configuration);
        const auto target = mutator.mutated(PlatformPartsTests::SoundTarget);
        for (const auto &result : {records.decodeOperator({1, "config", configuration}),
                                   records.decodeOperator({1, "version/model", target})}) {
            if (result && !isSane(result.value()))
                FAIL("an operator's values are out of bounds");
        }
    }
    CHECK(decoded > 0);
    CHECK(decoded < Iterations);
}

TEST_CASE("mutated pages of a log are decoded with consecutive offsets or refused")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    Mutator mutator(seed);
    std::string body(16, '\0');
    body[7] = 3;
    for (const std::string record : {"\x03w-1first", "\x03w-2second", "\x03w-3"})
        body += std::string(3, '\0') + static_cast<char>(record.size()) + record;
    for (int n = 0; n < Iterations; ++n) {
        const auto mutated = mutator.mutated(body);
        for (const bool isKeyed : {false, true}) {
            CAPTURE(seed, n, isKeyed);
            try {
                const auto page = Site::decodeRecords(mutated, 7, isKeyed);
                if (page.next != 7 + page.records.size())
                    FAIL("offsets are not consecutive");
            } catch (const Core::Error &) {
                // Truncated.
            }
        }
    }
    CHECK(Site::decodeRecords(body, 0, true).records.size() == 3);
}

TEST_CASE("mutated lists are read or refused without other exceptions")
{
    const QuietLog quiet;
    constexpr int Lists = 200;
    Mutator mutator(1);
    std::mutex mutex;
    const std::string list =
        R"({"items":[{"Key":"w-1","Value":"YQ==","Offset":1},{"Key":"w-2","Value":"YWI=",)"
        R"("Offset":2}],"HasMore":false,"End":9})";
    StandIns::RawServer server([&](auto &connection, const Http::Request &) {
        std::string body;
        {
            const std::scoped_lock lock(mutex);
            body = mutator.mutated(list);
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body);
    });
    Core::IoThreads threads(1);
    Site::PlatformLog log(server.endpoint());
    int read = 0;
    for (int n = 0; n < Lists; ++n) {
        auto page = asio::co_spawn(threads.next(), log.newest(Gateway::FleetTopic::Upstreams),
                                   asio::use_future);
        CAPTURE(n);
        try {
            page.get();
            ++read;
        } catch (const Core::Error &) {
            // Refused as a whole.
        }
    }
    CHECK(read > 0);
}

TEST_CASE("mutated base64 and addresses are decoded or refused")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    Mutator mutator(seed);
    for (int n = 0; n < Iterations; ++n) {
        const auto text = mutator.mutated("AAECAwQFBgcICQ==");
        CAPTURE(seed, n, text);
        const auto bytes = Core::decodeBase64(text);
        if (bytes && bytes.value().size() > text.size())
            FAIL("decoded bytes are longer than their text");
        const auto address = mutator.mutated("[::1]:8080");
        const auto endpoint = Http::parseEndpoint(address);
        if (endpoint && Http::formatEndpoint(endpoint.value()).empty())
            FAIL("an address is empty");
    }
    CHECK(Core::decodeBase64("AAECAwQFBgcICQ==").value().size() == 10);
    CHECK(Core::decodeBase64("====").has_value());
    CHECK(Core::decodeBase64("    ").value().empty());
}
