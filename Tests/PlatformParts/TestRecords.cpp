#include "SoundRecords.h"

#include <PlatformRecords.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <variant>

using namespace std::chrono_literals;
using PlatformPartsTests::SoundConfiguration;
using PlatformPartsTests::SoundUpstream;

namespace {

/// Returns the text with the value of a field replaced by other JSON.
std::string with(std::string text, const std::string &field, const std::string &value)
{
    const auto name = "\"" + field + "\":";
    const auto begin = text.find(name) + name.size();
    const auto end =
        text[begin] == '"' ? text.find('"', begin + 1) + 1 : text.find_first_of(",}]", begin);
    return text.replace(begin, end - begin, value);
}

struct Fixture
{
    Site::PlatformRecords records;
    Core::Result<Gateway::UpstreamReport> upstream(const std::string &value,
                                                   const std::string &key = "w-1") const
    {
        return records.decodeUpstream({3, key, value});
    }
    /// Returns the configuration; empty if it is refused.
    std::optional<Gateway::GatewayConfiguration> configuration(const std::string &value) const
    {
        const auto decoded = records.decodeOperator({3, "config", value});
        if (!decoded)
            return std::nullopt;
        return std::get<Gateway::GatewayConfiguration>(decoded.value());
    }
};

} // namespace

TEST_CASE_METHOD(Fixture, "records without a key are refused, so that they are logged")
{
    CHECK_FALSE(records.decodeOperator({3, "", ""}).has_value());
    CHECK_FALSE(records.decodeUpstream({3, "", ""}).has_value());
    CHECK_FALSE(upstream(SoundUpstream, "").has_value());
}

TEST_CASE_METHOD(Fixture, "a sound entry names an upstream")
{
    const auto report = upstream(SoundUpstream);
    REQUIRE(report.has_value());
    CHECK(report.value().endpoint.port() == 80);
    CHECK(report.value().slots == 8);
    CHECK(report.value().sequence == 12);
    CHECK(report.value().startTime == 1'700'000'000'000ms);
    CHECK(report.value().weights.at("model") == 3);
    CHECK(upstream(with(SoundUpstream, "Slots", "8.0")).has_value());
    CHECK(upstream(with(SoundUpstream, "Address", R"("[::1]:80")")).has_value());
}

TEST_CASE_METHOD(Fixture, "an entry with an address or port out of range names no upstream")
{
    const std::string address = GENERATE(
        as<std::string>(), R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1:99999999999")",
        R"("10.0.0.1:-1")", R"("10.0.0.1:+80")", R"("10.0.0.1: 80")", R"("10.0.0.1:80x")",
        R"("10.0.0.1:")", R"("10.0.0.1")", R"("worker.example:80")", R"("")", R"(":80")",
        R"("[::1]:0")", R"("::1]:80")", R"("10.0.0.1\u0000x:80")", "80", "null");
    CAPTURE(address);
    CHECK_FALSE(upstream(with(SoundUpstream, "Address", address)).has_value());
}

TEST_CASE_METHOD(Fixture, "an entry with a number out of range names no upstream")
{
    const std::string field = GENERATE(as<std::string>(), "Slots", "Seq", "born", "Version");
    const std::string number = GENERATE(
        as<std::string>(), "-1", "-9223372036854775808", "9223372036854775807",
        "9223372036854775808", "18446744073709551615", "18446744073709551616", "1e19", "-1e19",
        "9.223372036854775808e18", "1e400", "-1e400", "1.5", R"("8")", "true", "null", "[]", "{}");
    CAPTURE(field, number);
    CHECK_FALSE(upstream(with(SoundUpstream, field, number)).has_value());
}

TEST_CASE_METHOD(Fixture, "a number of slots is not cut to 32 bits")
{
    CHECK_FALSE(upstream(with(SoundUpstream, "Slots", "4294967296")).has_value());
    CHECK_FALSE(upstream(with(SoundUpstream, "Slots", "4294967297")).has_value());
}

TEST_CASE_METHOD(Fixture, "an entry whose start is no date names no upstream")
{
    // Their nanoseconds have more than 64 bits, and are small when they are cut.
    for (const auto *far : {"1170700000000000", "9007199254740991", "18446744073710"})
        CHECK_FALSE(upstream(with(SoundUpstream, "born", far)).has_value());
}

TEST_CASE_METHOD(Fixture,
                 "an upstream's start is followed whatever the clock of the instance shows")
{
    const auto day = std::chrono::duration_cast<std::chrono::milliseconds>(24h);
    for (const auto start : {1ms, 1'700'000'000'000ms, 1'700'000'000'000ms + 400 * day}) {
        const auto report = upstream(with(SoundUpstream, "born", std::to_string(start.count())));
        REQUIRE(report.has_value());
        CHECK(report.value().startTime == start);
    }
}

TEST_CASE_METHOD(Fixture, "an entry whose id cannot be sent in a header names no upstream")
{
    const std::string key =
        GENERATE(as<std::string>(), "w\r\nX: 1", "w\n", std::string("w\0", 2), "w\x7f", "\t");
    CHECK_FALSE(upstream(SoundUpstream, key).has_value());
    CHECK(upstream(SoundUpstream, "w 1/\xc3\xa4").has_value());
}

TEST_CASE_METHOD(Fixture, "an entry that is nested very deeply names no upstream")
{
    const std::size_t depth = GENERATE(33, 1'000, 1'000'000);
    const std::string open = GENERATE(as<std::string>(), "[", R"({"a":)");
    std::string nested;
    for (std::size_t n = 0; n < depth; ++n)
        nested += open;
    CHECK_FALSE(upstream(nested).has_value());
    CHECK_FALSE(upstream(with(SoundUpstream, "Models", nested)).has_value());
    CHECK_FALSE(upstream(with(SoundUpstream, "unknown", nested)).has_value());
}

TEST_CASE_METHOD(Fixture, "an entry with fields missing or of another type names no upstream")
{
    const std::string field =
        GENERATE(as<std::string>(), "Service", "Address", "Zone", "Slots", "State", "Seq");
    CAPTURE(field);
    auto value = boost::json::parse(SoundUpstream).as_object();
    value.erase(field);
    CHECK_FALSE(upstream(boost::json::serialize(value)).has_value());
    for (const auto &odd :
         {boost::json::value(nullptr), boost::json::value(true),
          boost::json::value(boost::json::array()), boost::json::value(boost::json::object())}) {
        value[field] = odd;
        CHECK_FALSE(upstream(boost::json::serialize(value)).has_value());
    }
}

TEST_CASE_METHOD(Fixture, "an entry of an unknown state, or that is no JSON, names no upstream")
{
    CHECK_FALSE(upstream(with(SoundUpstream, "State", R"("leaving")")).has_value());
    CHECK_FALSE(upstream(with(SoundUpstream, "State", R"("")")).has_value());
    for (const std::string &odd :
         {std::string(), std::string("\x01\x02"), std::string("null"), std::string("[]"),
          std::string("7"), std::string(SoundUpstream) + "x",
          std::string(SoundUpstream).substr(0, 40), with(SoundUpstream, "Zone", "\"\xff\""),
          with(SoundUpstream, "Zone", R"("\ud800")"), with(SoundUpstream, "Models", "[7]"),
          with(SoundUpstream, "Models", "{}")})
        CHECK_FALSE(upstream(odd).has_value());
}

TEST_CASE_METHOD(Fixture, "of a field that an entry has twice, the last one holds")
{
    const auto report = upstream(R"({"Slots":"x",)" + std::string(SoundUpstream).substr(1));
    REQUIRE(report.has_value());
    CHECK(report.value().slots == 8);
}

TEST_CASE_METHOD(Fixture, "a sound configuration is read in full")
{
    const auto read = configuration(SoundConfiguration);
    REQUIRE(read.has_value());
    REQUIRE(read->routes.size() == 1);
    CHECK(read->routes[0].gapTarget == 90ms);
    CHECK(read->services.size() == 2);
    CHECK(read->services.at("llm").engine->linkMegabitsPerSecond == 1'500'000.0);
    CHECK(read->tenants.size() == 1);
}

TEST_CASE_METHOD(Fixture, "a configuration whose version or limits are out of range is refused")
{
    const std::string field = GENERATE(as<std::string>(), "Version", "MaxHeaderBytes",
                                       "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs");
    const std::string number = GENERATE(as<std::string>(), "-1", "18446744073709551616", "1e20",
                                        "1e400", "1.5", R"("8")", "null");
    CAPTURE(field, number);
    CHECK_FALSE(configuration(with(SoundConfiguration, field, number)).has_value());
}

TEST_CASE_METHOD(Fixture, "a configuration whose version would hide all later ones is refused")
{
    const std::string number = GENERATE(as<std::string>(), "9223372036854775807",
                                        "18446744073709551615", "9007199254740992", "1e16");
    CHECK_FALSE(configuration(with(SoundConfiguration, "Version", number)).has_value());
}

TEST_CASE_METHOD(Fixture, "an entry of a configuration with a number out of range is left out")
{
    const std::string field =
        GENERATE(as<std::string>(), "TimeoutMs", "TargetLatencyMs", "GapAimMs", "Priority",
                 "MaxAttempts", "Weight", "MaxConns", "Slots", "KvCapacity", "TokenKvBytes",
                 "LinkMbps", "RatePerS", "Burst", "PlainTokens");
    const std::string number = GENERATE(as<std::string>(), "-9223372036854775808", "-1e19", "1e400",
                                        "-1e400", R"("8")", "null", "[]");
    CAPTURE(field, number);
    const auto read = configuration(with(SoundConfiguration, field, number));
    REQUIRE(read.has_value());
    CHECK(read->routes.size() + read->services.size() + read->tenants.size() == 3);
}

TEST_CASE_METHOD(Fixture, "a number of a configuration is not cut to 32 bits")
{
    const std::string field = GENERATE(as<std::string>(), "Priority", "MaxAttempts", "Weight",
                                       "MaxConns", "Slots", "PlainTokens");
    const std::string number =
        GENERATE(as<std::string>(), "4294967296", "4294967297", "18446744073709551615");
    CAPTURE(field, number);
    const auto read = configuration(with(SoundConfiguration, field, number));
    REQUIRE(read.has_value());
    CHECK(read->routes.size() + read->services.size() + read->tenants.size() == 3);
}

TEST_CASE_METHOD(Fixture, "a size that stands for no limit holds")
{
    const std::string number =
        GENERATE(as<std::string>(), "9223372036854775807", "18446744073709551615", "4294967296");
    const auto header = configuration(with(SoundConfiguration, "MaxHeaderBytes", number));
    REQUIRE(header.has_value());
    // The parser takes 32 bits.
    CHECK(header->limits.headerBytes == 0xffff'ffff);
    const auto body = configuration(with(SoundConfiguration, "MaxBodyBytes", number));
    REQUIRE(body.has_value());
    CHECK(body->limits.bodyBytes == std::stoull(number));
}

TEST_CASE_METHOD(Fixture, "times of a configuration can be added to the time without an overflow")
{
    const std::string field = GENERATE(as<std::string>(), "HeaderTimeoutMs", "IdleTimeoutMs",
                                       "TimeoutMs", "TargetLatencyMs", "GapAimMs");
    // The first is more milliseconds than the clock has nanoseconds.
    const std::string number = GENERATE(as<std::string>(), "9223372036855", "9223372036854775807",
                                        "18446744073709551615", "1e19");
    CAPTURE(field, number);
    const auto read = configuration(with(SoundConfiguration, field, number));
    REQUIRE(read.has_value());
    REQUIRE(read->routes.size() == 1);
    const auto &route = read->routes.front();
    for (const auto time : {read->limits.headerTime, read->limits.idleTime, route.timeout,
                            route.target, route.gapTarget}) {
        CHECK(time > 0ms);
        CHECK(time <= 10 * 366 * 24h);
    }
}

TEST_CASE_METHOD(Fixture, "a cache store whose port is out of range is left out")
{
    const std::string address =
        GENERATE(as<std::string>(), R"("10.0.0.2:0")", R"("10.0.0.2:65536")", R"("x:80")");
    const auto read = configuration(with(SoundConfiguration, "KvStoreAddr", address));
    REQUIRE(read.has_value());
    CHECK(read->services.size() == 1);
}

TEST_CASE_METHOD(Fixture, "an empty or unreadable list of tenants opens the routes to all")
{
    auto value = boost::json::parse(SoundConfiguration).as_object();
    for (const auto &tenants :
         {R"([])", R"([7])", R"([{"Name":"liit","ApiKeys":"k"}])", R"([{"ApiKeys":["k"]}])",
          R"([{"Name":"liit","ApiKeys":["k",7]}])", R"([{"Name":"liit"}])",
          R"([{"Name":"liit","ApiKeys":["k"],"Isolated":"yes"}])", R"(null)", R"({})", R"("k")"}) {
        CAPTURE(tenants);
        value["Tenants"] = boost::json::parse(tenants);
        const auto read = configuration(boost::json::serialize(value));
        REQUIRE(read.has_value());
        CHECK(read->requiresKeys);
        CHECK(read->findTenant("k") == nullptr);
    }
    value["Tenants"] = boost::json::parse(R"([{"Name":"kool","ApiKeys":["k2"]},7])");
    CHECK(configuration(boost::json::serialize(value))->findTenant("k2"));
    value.erase("Tenants");
    CHECK_FALSE(configuration(boost::json::serialize(value))->requiresKeys);
}

TEST_CASE_METHOD(Fixture, "requests of an unreadable route are sent to the service of another one")
{
    auto value = boost::json::parse(SoundConfiguration).as_object();
    const auto route = value["Routes"].as_array().front().as_object();
    const auto readWith = [&](const boost::json::value &entry) {
        value["Routes"] = boost::json::array {route, entry};
        const auto read = configuration(boost::json::serialize(value));
        REQUIRE(read.has_value());
        REQUIRE(read->routes.size() == 1);
        return *read;
    };
    const auto isRefused = [](const auto &read, const char *host, const char *path) {
        return read.isUnreadable(host, path, read.findRoute(host, path));
    };
    auto entry = route;
    entry["PathPrefix"] = "/a/b/";
    for (const char *field : {"Kind", "TimeoutMs", "Public", "Backends"}) {
        CAPTURE(field);
        auto odd = entry;
        odd[field] = 7.5;
        const auto read = readWith(odd);
        CHECK(isRefused(read, "a.example", "/a/b/1"));
        CHECK(isRefused(read, "A.example:80", "/a/b/1"));
        CHECK_FALSE(isRefused(read, "a.example", "/a/1"));
        CHECK_FALSE(isRefused(read, "b.example", "/a/b/1"));
    }
    entry["PathPrefix"] = 7;
    CHECK(isRefused(readWith(entry), "a.example", "/a/1"));
    CHECK_FALSE(isRefused(readWith(entry), "b.example", "/a/1"));
    CHECK(isRefused(readWith(7), "b.example", "/c"));
    value["Routes"] = "none";
    const auto read = configuration(boost::json::serialize(value));
    REQUIRE(read.has_value());
    CHECK(isRefused(*read, "a.example", "/a/1"));
}

TEST_CASE_METHOD(Fixture, "an unreadable service takes requests of its routes")
{
    auto value = boost::json::parse(SoundConfiguration).as_object();
    for (const auto &services : {R"([7])", R"([{"Name":"llm","Engine":7}])", R"({})", R"([])"}) {
        CAPTURE(services);
        value["Services"] = boost::json::parse(services);
        const auto read = configuration(boost::json::serialize(value));
        REQUIRE(read.has_value());
        CHECK(read->findService("llm") == nullptr);
    }
}

TEST_CASE_METHOD(Fixture, "named weights with an odd version or model are refused")
{
    const std::string odd = GENERATE(
        as<std::string>(), R"({"Model":"m","Version":-1})", R"({"Model":"m","Version":1e400})",
        R"({"Model":"m","Version":18446744073709551615})", R"({"Model":7,"Version":1})",
        R"({"Version":1})", R"({"Model":"m"})", "[]", "", "{");
    CAPTURE(odd);
    CHECK_FALSE(records.decodeOperator({3, "version/m", odd}).has_value());
    CHECK(records.decodeOperator({3, "version/m", R"({"Model":"m","Version":2})"}).has_value());
}
