#include "Report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Bench {

namespace {

Table targetTable(const std::vector<ScenarioReport> &reports)
{
    Table table {"Targets", {"scenario", "target", "measured", "bound", "met"}, {}};
    for (const auto &report : reports) {
        for (const auto &row : report.targets) {
            const std::string sign = row.kind == BoundKind::AtLeast ? ">= " : "<= ";
            table.rows.push_back({row.scenario, row.target, fixed(row.measured, 4),
                                  sign + fixed(row.bound, 4), row.isMet() ? "yes" : "NO"});
        }
    }
    return table;
}

void writeTable(std::ostream &out, const Table &table)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        std::size_t width = table.columns[i].size();
        for (const auto &row : table.rows)
            width = std::max(width, row[i].size());
        widths.push_back(width);
    }
    const auto writeRow = [&](const std::vector<std::string> &cells) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            out << (i == 0 ? "| " : " | ") << std::left << std::setw(static_cast<int>(widths[i]))
                << cells[i];
        out << " |\n";
    };
    out << table.title << "\n\n";
    writeRow(table.columns);
    for (const auto width : widths)
        out << "| " << std::string(width, '-') << ' ';
    out << "|\n";
    for (const auto &row : table.rows)
        writeRow(row);
    out << '\n';
}

boost::json::object tableJson(const Table &table)
{
    boost::json::array rows;
    for (const auto &row : table.rows) {
        boost::json::object object;
        for (std::size_t i = 0; i < row.size(); ++i)
            object[table.columns[i]] = row[i];
        rows.push_back(std::move(object));
    }
    return {{"title", table.title}, {"rows", std::move(rows)}};
}

} // namespace

bool TargetRow::isMet() const
{
    return kind == BoundKind::AtLeast ? measured >= bound : measured <= bound;
}

std::string fixed(double value, int decimals)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(decimals) << value;
    return out.str();
}

std::string formatText(const std::vector<ScenarioReport> &reports)
{
    std::ostringstream out;
    for (const auto &report : reports) {
        for (const auto &table : report.tables)
            writeTable(out, table);
        for (const auto &line : report.charts)
            out << line << '\n';
    }
    writeTable(out, targetTable(reports));
    return out.str();
}

std::string formatJson(const std::vector<ScenarioReport> &reports)
{
    boost::json::array tables;
    boost::json::array targets;
    for (const auto &report : reports) {
        for (const auto &table : report.tables)
            tables.push_back(tableJson(table));
        for (const auto &row : report.targets) {
            targets.push_back({{"scenario", row.scenario},
                               {"target", row.target},
                               {"measured", row.measured},
                               {"bound", row.bound},
                               {"kind", row.kind == BoundKind::AtLeast ? "atLeast" : "atMost"},
                               {"met", row.isMet()}});
        }
    }
    const boost::json::object object {{"tables", std::move(tables)},
                                      {"targets", std::move(targets)}};
    return boost::json::serialize(object);
}

} // namespace Bench
