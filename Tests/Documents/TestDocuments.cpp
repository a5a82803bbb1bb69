#include <LibCore/ErrorKind.h>
#include <LibCore/EventCatalogue.h>

#include <Documents/Pages.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>
#include <vector>

namespace {

using Documents::Cells;
using Documents::checkRows;
using Documents::tableRows;

std::string levelName(Core::EventLevel level)
{
    switch (level) {
    case Core::EventLevel::Debug:
        return "debug";
    case Core::EventLevel::Info:
        return "info";
    case Core::EventLevel::Warning:
        return "warning";
    case Core::EventLevel::Error:
        return "error";
    }
    return "";
}

} // namespace

TEST_CASE("the page of events agrees with the catalogue")
{
    std::vector<Cells> expected;
    for (const auto &row : Core::eventCatalogue()) {
        expected.push_back({std::to_string(static_cast<unsigned>(row.id)), std::string(row.name),
                            levelName(row.level), std::string(row.meaning)});
    }
    checkRows(tableRows("EVENTS.md", "number"), expected);
}

TEST_CASE("the page of errors agrees with the table of kinds")
{
    std::vector<Cells> expected;
    for (const auto &row : Core::errorKindTable()) {
        const auto seconds =
            row.retryAfter ? std::to_string(row.retryAfter->count()) + " s" : std::string("none");
        expected.push_back({std::string(row.name), std::to_string(row.httpStatus),
                            std::string(Core::executionStatusName(row.attempt)), seconds,
                            std::string(row.meaning)});
    }
    checkRows(tableRows("ERRORS.md", "kind"), expected);
}

TEST_CASE("every link between the pages leads to a file")
{
    namespace fs = std::filesystem;
    const fs::path root(JUJUBE_SOURCE_DIR);
    std::vector<fs::path> pages {root / "README.md"};
    for (const auto &entry : fs::recursive_directory_iterator(root / "docs")) {
        if (entry.path().extension() == ".md")
            pages.push_back(entry.path());
    }
    const std::regex link(R"(\]\(([^)#:]+)[^):]*\))");
    std::size_t links = 0;
    for (const auto &page : pages) {
        std::ifstream file(page);
        const std::string text((std::istreambuf_iterator<char>(file)), {});
        for (std::sregex_iterator it(text.begin(), text.end(), link), end; it != end; ++it) {
            INFO(page << " links to " << (*it)[1]);
            CHECK(fs::exists(page.parent_path() / (*it)[1].str()));
            ++links;
        }
    }
    CHECK(links > 0);
}
