#pragma once

#include <map>
#include <string>
#include <vector>

namespace Documents {

/// The cells of one table row, without surrounding spaces and backticks.
using Cells = std::vector<std::string>;

/// Returns the rows of all tables of a page in docs whose first column has the given name, by their
/// first cell.
std::map<std::string, Cells> tableRows(const std::string &page, const std::string &column);

/// Checks that each expected row is the beginning of a row of the page, and that the page has no
/// other rows.
void checkRows(const std::map<std::string, Cells> &written, const std::vector<Cells> &expected);

} // namespace Documents
