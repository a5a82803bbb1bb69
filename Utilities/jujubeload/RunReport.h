#pragma once

#include <jujubeload/RunRecord.h>

#include <chrono>
#include <string>

namespace Load {

/// The results of a run.
struct RunReport
{
    RunTotals totals;
    /// Time from the start of the first request to the end of the last answer.
    std::chrono::duration<double> elapsed {0};
    /// Number of distinct answered prompts, and the AnswerBook::digest() of their answers.
    std::size_t prompts = 0;
    std::uint64_t answersDigest = 0;

    /// Whether every request got a complete and correct answer.
    bool isClean() const { return totals.errors.empty(); }
};

/// Prints a human-readable report.
std::string formatText(const RunReport &report);
/// Prints one JSON object for scripts; times are in milliseconds.
std::string formatJson(const RunReport &report);

} // namespace Load
