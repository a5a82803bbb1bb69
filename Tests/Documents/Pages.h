#pragma once

#include <map>
#include <string>
#include <vector>

namespace Documents {

/// The cells of one row of a table, without blanks and code marks.
using Cells = std::vector<std::string>;

/// The rows of every table of a page in docs whose header begins with the column, by their first
/// cell.
std::map<std::string, Cells> tableRows(const std::string &page, const std::string &column);

/// Holds a page's rows against the expected beginnings of rows, both ways.
void checkRows(const std::map<std::string, Cells> &written, const std::vector<Cells> &expected);

} // namespace Documents
