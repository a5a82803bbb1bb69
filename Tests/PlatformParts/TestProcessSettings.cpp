#include <ProcessSettings.h>
#include <catch2/catch.hpp>

#include <string>

namespace {

Core::Result<Site::ProcessSettings> parse(const std::string &rest)
{
    const std::string file = rest + R"(
NodeName = "n1"
Zone = "north"
PortRange = [7000, 7001]
Listen = {Front = "127.0.0.1:80", Ready = "127.0.0.1:81"}
Platform = {Address = "127.0.0.1:82"}
)";
    return Site::parseProcessSettings(file, "settings.toml");
}

} // namespace

TEST_CASE("the contract on pressure and the memory are read from the settings file")
{
    const auto plain = parse("").value().gateway;
    CHECK_FALSE(plain.isMemoryScarce);
    CHECK(plain.memoryBytes == 0);
    const auto scarce =
        parse("Contracts = [\"other\", \"pressure\"]\nLimits = {MemoryMb = 160}").value().gateway;
    CHECK(scarce.isMemoryScarce);
    CHECK(scarce.memoryBytes == std::size_t {160} * 1024 * 1024);
    CHECK(scarce.bodyMemoryBytes == std::size_t {40} * 1024 * 1024);
    CHECK_FALSE(parse("Contracts = [\"other\"]").value().gateway.isMemoryScarce);
    // A name in place of the list is a fault of the file, not an empty list.
    CHECK_FALSE(parse("Contracts = \"pressure\"").has_value());
}
