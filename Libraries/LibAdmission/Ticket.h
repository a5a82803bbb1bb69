#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace Admission {

/// Names one submitted request until it is released, refused or withdrawn.
struct TicketId
{
    /// Position of the group in the controller; stable over changes of configuration.
    std::uint32_t group = 0;
    std::uint64_t number = 0;

    friend bool operator==(const TicketId &, const TicketId &) = default;
    friend bool operator<(const TicketId &a, const TicketId &b)
    {
        return a.group != b.group ? a.group < b.group : a.number < b.number;
    }
};

/// What a request asks for.
struct Ticket
{
    Core::UpstreamGroupId group;
    Core::TeamId team;
    Core::PriorityClassId priorityClass;
    /// Prompt tokens to compute and tokens to generate, as far as they can be foretold.
    std::uint64_t expectedTokens = 1;
    /// When the first token must be there; empty when the class has no target.
    std::optional<Core::Clock::Monotonic> deadline;
    /// Time an upstream needs from the send to the first token.
    std::chrono::microseconds expectedFirstToken {0};
    /// Whether this very request may be cancelled and sent again: it is idempotent, and its
    /// upstream honours a cancel.
    bool preemptible = false;
    /// Whether the request was preempted before. It then waits before the others of its team, and
    /// neither the rate nor the queue limit applies again.
    bool resumed = false;
};

/// The right to send one request.
struct Grant
{
    TicketId id;
    /// How long the request waited.
    std::chrono::microseconds waited {0};
    /// Whether the slot is beyond the team's own capacity.
    bool borrowed = false;
    /// The order in which an engine that honours priorities should take the request; lower is
    /// sooner. Within a class, work within its team's own capacity comes before borrowed work.
    int enginePriority = 0;
};

/// Receives the decision on one ticket exactly once, never under a lock: a grant, or an error of
/// kind Overloaded, TeamLimitReached, DeadlineUnreachable or Forbidden, whose attempt did not run.
using DecisionHook = std::function<void(Core::Result<Grant>)>;

/// Asks the owner of a running request to cancel it at its upstream, to release its ticket and,
/// when nothing reached the caller yet, to submit it again as resumed.
using PreemptionHook = std::function<void(TicketId)>;

} // namespace Admission
