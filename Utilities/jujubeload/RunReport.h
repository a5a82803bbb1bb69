#pragma once

#include <jujubeload/RunRecord.h>

#include <chrono>
#include <string>

namespace Load {

/// What a run found.
struct RunReport
{
    RunTotals totals;
    /// From the first request's start to the last answer's end.
    std::chrono::duration<double> elapsed {0};
    /// Different prompts answered, and AnswerBook::digest() of them.
    std::size_t prompts = 0;
    std::uint64_t answersDigest = 0;

    /// Whether every request was answered, whole and right.
    bool isClean() const { return totals.errors.empty(); }
};

/// Lines for people.
std::string formatText(const RunReport &report);
/// One JSON object for scripts; times in milliseconds.
std::string formatJson(const RunReport &report);

} // namespace Load
