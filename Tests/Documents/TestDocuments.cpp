#include <LibCore/ErrorKind.h>
#include <LibCore/EventCatalogue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>
#include <vector>

namespace {

using Cells = std::vector<std::string>;

/// The cells of one line of a Markdown table, without blanks and code marks.
Cells cellsOf(const std::string &line)
{
    Cells cells;
    for (std::size_t begin = 1; begin < line.size();) {
        const auto end = std::min(line.find('|', begin), line.size());
        auto cell = line.substr(begin, end - begin);
        std::erase(cell, '`');
        const auto first = cell.find_first_not_of(' ');
        const auto last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
        begin = end + 1;
    }
    return cells;
}

/// The rows of every table of a page whose header begins with the column, by their first cell.
std::map<std::string, Cells> tableRows(const std::string &page, const std::string &column)
{
    std::ifstream file(std::string(JUJUBE_SOURCE_DIR) + "/docs/" + page);
    REQUIRE(file);
    std::map<std::string, Cells> rows;
    bool isInside = false;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with('|')) {
            isInside = false;
            continue;
        }
        const auto cells = cellsOf(line);
        if (!isInside) {
            isInside = cells.front() == column;
            continue;
        }
        if (cells.front().starts_with("---"))
            continue;
        INFO(page << " has two rows for " << cells.front());
        CHECK(rows.emplace(cells.front(), cells).second);
    }
    return rows;
}

/// Holds a page's rows against the expected beginnings of rows, both ways.
void checkRows(const std::map<std::string, Cells> &written, const std::vector<Cells> &expected)
{
    for (const auto &row : expected) {
        INFO("row " << row.front());
        const auto found = written.find(row.front());
        CHECK(found != written.end());
        if (found == written.end())
            continue;
        REQUIRE(found->second.size() > row.size());
        CHECK(Cells(found->second.begin(),
                    found->second.begin() + static_cast<std::ptrdiff_t>(row.size()))
              == row);
        CHECK_FALSE(found->second.back().empty());
    }
    // Each expected row was found once, so that any further row of the page has no counterpart.
    CHECK(written.size() == expected.size());
}

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
                            std::string(Core::fateName(row.attempt)), seconds,
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
