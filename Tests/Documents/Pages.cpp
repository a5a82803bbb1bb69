#include <Documents/Pages.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>

namespace Documents {

namespace {

/// Returns the cells of one line of a Markdown table, without surrounding spaces and backticks.
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

} // namespace

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
    // Every expected row was found above, so any further row of the page is not expected.
    CHECK(written.size() == expected.size());
}

} // namespace Documents
