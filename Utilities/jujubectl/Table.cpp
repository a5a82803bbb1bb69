#include <jujubectl/Table.h>

#include <algorithm>
#include <utility>

namespace Jujubectl {

Table::Table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void Table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void Table::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n];
            line.append(widths[n] - row[n].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace Jujubectl
