#pragma once

#include <jujubeload/LatencySeries.h>
#include <jujubeload/StreamedAnswer.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Load {

/// What was seen of one request.
struct RequestOutcome
{
    /// Empty for a whole and right answer; else the kind of error.
    std::string error;
    /// From when the request was due to its first text.
    std::chrono::nanoseconds firstToken {0};
    /// From when the request was due to the end of its answer.
    std::chrono::nanoseconds whole {0};
    /// Times between chunks with text.
    std::vector<std::chrono::nanoseconds> gaps;
    AnswerUsage usage;
};

/// The sums of a run. Only whole and right answers count for times and tokens.
struct RunTotals
{
    std::uint64_t answered = 0;
    std::map<std::string, std::uint64_t> errors;
    AnswerUsage usage;
    LatencySeries firstToken;
    LatencySeries betweenTokens;
    LatencySeries whole;

    /// Cached share of the prompt tokens; zero without prompt tokens.
    double cachedShare() const;
};

/// Gathers outcomes. Safe from any thread.
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
