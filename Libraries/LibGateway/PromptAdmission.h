#pragma once

#include <LibGateway/EngineModel.h>

#include <chrono>
#include <optional>

namespace Gateway {

/// What is expected of a prompt at the engine that was chosen for it.
struct PromptOutlook
{
    /// The wait for the prompts ahead and for memory.
    EngineModel::Milliseconds wait {0};
    /// The time for the prompt itself, once the engine has admitted it.
    EngineModel::Milliseconds ownTime {0};
    /// The time that the caller will still wait.
    std::chrono::milliseconds remaining {0};
    std::chrono::milliseconds target {0};
    bool isUrgent = false;
    /// Whether the caller was refused before and has returned.
    bool isReturning = false;
};

/// A prompt that is not sent, and when its caller may return; empty if that would not help.
struct PromptRefusal
{
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Decides whether a prompt is sent to its engine. Returns nothing if it is.
///
/// Answers overload: while more prompt tokens arrive than the engines can prefill, the queue is
/// kept short by refusing whoever would wait too long in it. A prompt's own prefill does not count
/// as waiting, so that large prompts are refused as often as small ones, and none that an idle
/// engine could serve within the caller's time is refused there. A returning caller may wait longer
/// than a new one.
std::optional<PromptRefusal> refusePrompt(const PromptOutlook &outlook);

/// Recognizes returning callers of one route by their time: all callers of a route start with about
/// the same time to wait, and those that return after a refusal have less of it left. Needs no
/// exchange between instances, although callers return to other ones.
class ReturningCallers
{
public:
    /// Records the time that a new arrival will wait, and returns whether the caller has returned.
    bool noteArrival(std::chrono::milliseconds callerTime);
    /// Returns how long a caller that has returned has waited so far, given the time that it will
    /// still wait.
    std::chrono::milliseconds timeSpent(std::chrono::milliseconds callerTime) const;

private:
    /// The longest recent time of a caller. It decays, so that it follows a change of the callers.
    EngineModel::Milliseconds m_fullTime {0};
};

} // namespace Gateway
