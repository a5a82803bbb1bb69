#pragma once

#include <string>
#include <vector>

namespace Bench {

/// Which side of the bound is good.
enum class BoundKind {
    AtLeast,
    AtMost,
};

/// One stated target and what a run measured.
struct TargetRow
{
    std::string target;
    std::string scenario;
    double measured = 0;
    double bound = 0;
    BoundKind kind = BoundKind::AtLeast;

    bool isMet() const;
};

/// Columns of text with a title.
struct Table
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// What one scenario produced.
struct ScenarioReport
{
    std::vector<Table> tables;
    /// Preformatted lines, such as a timeline.
    std::vector<std::string> charts;
    std::vector<TargetRow> targets;
};

/// A number with a fixed count of decimals.
std::string fixed(double value, int decimals);

/// The reports as aligned text, one row per target last.
std::string formatText(const std::vector<ScenarioReport> &reports);

/// The reports as one JSON object: {"tables":[...],"targets":[...]}.
std::string formatJson(const std::vector<ScenarioReport> &reports);

} // namespace Bench
