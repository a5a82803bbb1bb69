#pragma once

#include <jujubeload/LatencySeries.h>
#include <jujubeload/StreamedAnswer.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Load {

/// The measured outcome of one request.
struct RequestOutcome
{
    /// Empty for a complete and correct answer; otherwise the kind of error.
    std::string error;
    /// Time from the scheduled start of the request to the first text of its answer.
    std::chrono::nanoseconds firstToken {0};
    /// Time from the scheduled start of the request to the end of its answer.
    std::chrono::nanoseconds whole {0};
    /// Times between chunks with text.
    std::vector<std::chrono::nanoseconds> gaps;
    AnswerUsage usage;
};

/// The totals of a run. Times and tokens include only complete and correct answers.
struct RunTotals
{
    std::uint64_t answered = 0;
    std::map<std::string, std::uint64_t> errors;
    AnswerUsage usage;
    LatencySeries firstToken;
    LatencySeries betweenTokens;
    LatencySeries whole;

    /// Returns the cached share of the prompt tokens; zero without prompt tokens.
    double cachedShare() const;
};

/// Collects outcomes. Thread-safe.
class RunRecord
{
public:
    void note(const RequestOutcome &outcome);
    RunTotals totals() const;

private:
    mutable std::mutex m_mutex;
    RunTotals m_totals;
};

} // namespace Load
