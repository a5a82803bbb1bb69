#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace Admission {

/// Identifies one submitted request until it is released, refused or withdrawn.
struct TicketId
{
    /// Index of the group in the controller. It does not change when the configuration does.
    std::uint32_t group = 0;
    std::uint64_t number = 0;

    friend bool operator==(const TicketId &, const TicketId &) = default;
    friend bool operator<(const TicketId &a, const TicketId &b)
    {
        return a.group != b.group ? a.group < b.group : a.number < b.number;
    }
};

/// The properties of a request that admission decides on.
struct Ticket
{
    Core::UpstreamGroupId group;
    Core::TeamId team;
    Core::PriorityClassId priorityClass;
    /// Estimated number of prompt tokens to compute plus tokens to generate.
    std::uint64_t expectedTokens = 1;
    /// The time by which the first token is due; empty when the class has no latency target.
    std::optional<Core::Clock::Monotonic> deadline;
    /// Estimated time from sending the request to an upstream until its first token.
    std::chrono::microseconds expectedFirstToken {0};
    /// Whether this request may be cancelled and sent again, which requires that it is idempotent
    /// and that its upstream supports cancellation.
    bool preemptible = false;
    /// Whether the request was preempted and is submitted again. It is then queued ahead of its
    /// team's other requests and is exempt from the team limits and the queue limit.
    bool resumed = false;
};

/// The permission to send one request to an upstream.
struct Grant
{
    TicketId id;
    /// How long the request waited.
    std::chrono::microseconds waited {0};
    /// Whether the slot is borrowed, that is, beyond the team's own capacity.
    bool borrowed = false;
    /// The priority to pass to an engine that supports priorities; lower values are served first.
    /// Within a class, requests within their team's own capacity precede borrowed ones.
    int enginePriority = 0;
};

/// Receives the decision on one ticket. It is called exactly once, with no lock held, with either a
/// grant or an error of kind Overloaded, TeamLimitReached, DeadlineUnreachable or Forbidden and
/// execution status NotRun.
using DecisionHook = std::function<void(Core::Result<Grant>)>;

/// Asks the owner of a running request to cancel it at its upstream and to release its ticket. If
/// the caller has not received any output yet, the owner submits the request again as resumed.
using PreemptionHook = std::function<void(TicketId)>;

} // namespace Admission
