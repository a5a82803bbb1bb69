#include <Documents/Pages.h>
#include <catch2/catch.hpp>
#include <jujubesaddled/Settings.h>

#include <array>
#include <iostream>
#include <regex>
#include <sstream>

namespace {

/// Returns the output of the daemon for --help.
std::string helpText()
{
    std::ostringstream captured;
    auto *original = std::cout.rdbuf(captured.rdbuf());
    constexpr std::array Arguments {"jujubesaddled", "--help"};
    (void)Daemon::readCommandLine(Arguments.size(), Arguments.data());
    std::cout.rdbuf(original);
    return captured.str();
}

} // namespace

TEST_CASE("the page of settings agrees with the daemon's help")
{
    std::vector<Documents::Cells> expected;
    const std::regex option(R"((--[a-z-]+) TEXT(=(\S*))?.*\(Env:([A-Z_]+)\))");
    const auto help = helpText();
    for (std::sregex_iterator it(help.begin(), help.end(), option), end; it != end; ++it)
        expected.push_back({(*it)[1].str(), (*it)[4].str(), (*it)[3].str()});
    CHECK(expected.size() > 1);
    // The page describes an empty default in words.
    auto written = Documents::tableRows("OPERATIONS.md", "flag");
    for (auto &row : expected) {
        const auto found = written.find(row.front());
        if ((row.back().empty() || row.back() == "[]") && found != written.end())
            row.back() = found->second.at(2) == "one a core" ? "one a core" : "none";
    }
    Documents::checkRows(written, expected);
}
