#include <LibConfiguration/Examples.h>
#include <LibConfiguration/FieldCatalogue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using Configuration::FieldRow;

namespace {

std::string rangeText(const FieldRow &row)
{
    if (!row.choices.empty())
        return std::string(row.choices);
    if (row.maximum == 0 || row.type == Configuration::FieldType::Table)
        return "";
    return std::to_string(row.minimum) + " to " + std::to_string(row.maximum);
}

/// Returns the line of docs/CONFIGURATION.md for one field.
std::string tableLine(const FieldRow &row)
{
    std::ostringstream line;
    line << "| `" << row.name << "` | " << fieldTypeName(row.type) << " | " << rangeText(row)
         << " | " << row.unit << " | "
         << (row.defaultValue.empty() ? "required" : '`' + std::string(row.defaultValue) + '`')
         << " | " << row.meaning << " |";
    return line.str();
}

/// Returns the field lines below the heading of each table, each prefixed with the name of its
/// table.
std::vector<std::string> documentedFields()
{
    std::istringstream page(sourceFile("docs/CONFIGURATION.md"));
    std::vector<std::string> lines;
    std::string table;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("### `"))
            table = line.substr(5, line.find('`', 5) - 5);
        else if (line.starts_with("## "))
            table = "";
        else if (line.starts_with("| `"))
            lines.push_back(table + ": " + line);
    }
    return lines;
}

} // namespace

TEST_CASE("docs/CONFIGURATION.md lists the fields of the code, and no others")
{
    std::vector<std::string> expected;
    for (const auto &it : Configuration::fieldCatalogue())
        expected.push_back(std::string(it.table) + ": " + tableLine(it));
    auto documented = documentedFields();
    std::sort(expected.begin(), expected.end());
    std::sort(documented.begin(), documented.end());
    CHECK(documented == expected);
}
