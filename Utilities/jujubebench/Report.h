#pragma once

#include <string>
#include <vector>

namespace Bench {

/// Direction in which a measured value meets its bound.
enum class BoundKind {
    AtLeast,
    AtMost,
};

/// Holds one target and the measured value.
struct TargetRow
{
    std::string target;
    std::string scenario;
    double measured = 0;
    double bound = 0;
    BoundKind kind = BoundKind::AtLeast;

    bool isMet() const;
};

/// Holds a titled table of text cells.
struct Table
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// Holds the results of one scenario.
struct ScenarioReport
{
    std::vector<Table> tables;
    /// Preformatted lines, such as a timeline.
    std::vector<std::string> charts;
    std::vector<TargetRow> targets;
};

/// Returns the value with a fixed number of decimals.
std::string fixed(double value, int decimals);

/// Returns the reports as aligned text, ending with one row per target.
std::string formatText(const std::vector<ScenarioReport> &reports);

/// Returns the reports as one JSON object: {"tables":[...],"targets":[...]}.
std::string formatJson(const std::vector<ScenarioReport> &reports);

} // namespace Bench
