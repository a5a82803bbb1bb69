#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/PoisonTable.h>
#include <LibGateway/RequestPlan.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace Gateway {

/// The progress of a request, as reported in the log.
struct RequestProgress
{
    unsigned sends = 0;
    /// The age of the list of upstreams when the last attempt was sent.
    std::chrono::nanoseconds listAge {0};
    std::optional<Core::Clock::Monotonic> firstByte;
    /// The weights that the engine had when it began to answer, and for how long newer ones had
    /// been named then; zero if they were the newest.
    std::uint64_t weights = 0;
    std::chrono::nanoseconds weightsOutdatedFor {0};
    /// When the last events of a stream were relayed, and the longest pause between two of them.
    std::optional<Core::Clock::Monotonic> lastEvents;
    std::chrono::nanoseconds longestPause {0};

    void noteEvents(Core::Clock::Monotonic now)
    {
        if (lastEvents)
            longestPause = std::max(longestPause, now - *lastEvents);
        lastEvents = now;
    }
};

/// Functions that log the events of a request. Each event contains the attempt id of the caller.
void logRefusal(const Gateway &gateway, const AcceptedRequest &request, const Refusal &refusal);
/// Logs the inputs of a refusal for want of capacity and their age, the time that the request was
/// queued, and the time after which its caller may return.
void logCapacityRefusal(Gateway &gateway, const AcceptedRequest &request,
                        const Capacity::WaitingOutlook &outlook, std::chrono::nanoseconds waited,
                        std::optional<std::chrono::milliseconds> retryAfter);
void logServed(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
               const RequestProgress &progress);
void logAttempt(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
                const RequestProgress &progress, std::string_view end, const std::string &reason);

/// Logs whether the retry budget of the plan's service allowed another attempt.
void logRetry(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
              bool isAllowed);

/// Logs that the prompt was lost because its engine, of the given start time, crashed.
void logCasualty(const AcceptedRequest &request, const Core::UpstreamId &engine,
                 std::chrono::milliseconds startTime, const Casualty &casualty);

/// Returns a hash of a request, part or crash as log and refusals show it.
std::string formatHash(std::uint64_t hash);

} // namespace Gateway
