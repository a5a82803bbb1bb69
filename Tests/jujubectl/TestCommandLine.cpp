#include <LibConfiguration/Examples.h>

#include <catch2/catch.hpp>
#include <jujubectl/CommandLine.h>

#include <cstdlib>
#include <vector>

using Jujubectl::CommandKind;

namespace {

Jujubectl::CommandLine parse(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "jujubectl");
    return Jujubectl::parseCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("every command is parsed with flags before or after it")
{
    const auto check = parse({"config", "check", "FILE"});
    REQUIRE(check.settings);
    CHECK(check.settings->command == CommandKind::ConfigCheck);
    CHECK(check.settings->file == "FILE");
    const auto show = parse({"config", "show", "--platform", "127.0.0.1:1", "--json"});
    REQUIRE(show.settings);
    CHECK(show.settings->json);
    const auto promote = parse({"--platform", "127.0.0.1:1", "config", "promote", "--from", "trial",
                                "--to", "production"});
    REQUIRE(promote.settings);
    CHECK(promote.settings->promoteTo == "production");
    CHECK(parse({"--admin", "127.0.0.1:1", "drain"}).settings);
    CHECK(parse({"--admin", "127.0.0.1:1", "explain", "R"}).settings);
    CHECK(parse({"--admin", "127.0.0.1:1", "usage"}).settings);
}

TEST_CASE("missing or invalid arguments end with exit code 2")
{
    CHECK(parse({}).exitCode == 2);
    CHECK(parse({"status"}).exitCode == 2);
    CHECK(parse({"--admin", "x", "status"}).exitCode == 2);
    CHECK(parse({"--platform", "127.0.0.1:1", "drain"}).exitCode == 2);
    CHECK(parse({"config", "nonsense"}).exitCode == 2);
    CHECK(parse({"--admin", "127.0.0.1:1", "config", "show"}).exitCode == 2);
    CHECK(parse({"--platform", "127.0.0.1:1", "config", "restart", "F"}).exitCode == 2);
    CHECK(parse({"--help"}).exitCode == 0);
}

TEST_CASE("production accepts untried documents only with --untried")
{
    const std::vector<const char *> line = {
        "--platform", "127.0.0.1:1", "--environment", "production", "config", "publish", "F"};
    CHECK(parse(line).exitCode == 2);
    auto untried = line;
    untried.push_back("--untried");
    CHECK(parse(untried).settings);
}

TEST_CASE("flags are read from the environment too")
{
    ::setenv("JUJUBECTL_PLATFORM", "127.0.0.1:77", 1);
    const auto line = parse({"status"});
    ::unsetenv("JUJUBECTL_PLATFORM");
    REQUIRE(line.settings);
    CHECK(line.settings->platform->port() == 77);
}

TEST_CASE("the manual names every flag's variable and every exit code")
{
    const auto manual = sourceFile("docs/jujubectl.md");
    const auto source = sourceFile("Utilities/jujubectl/CommandLine.cpp");
    const std::string prefix = "JUJUBECTL_";
    std::size_t count = 0;
    for (auto at = source.find(prefix); at != std::string::npos; at = source.find(prefix, at + 1)) {
        const auto name = source.substr(at, source.find('"', at) - at);
        INFO(name);
        CHECK(manual.find('`' + name + '`') != std::string::npos);
        ++count;
    }
    CHECK(count > 5);
    for (int code = 0; code <= 8; ++code)
        CHECK(manual.find("\n| " + std::to_string(code) + " | ") != std::string::npos);
}
