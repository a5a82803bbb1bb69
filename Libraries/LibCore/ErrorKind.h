#pragma once

#include <LibCore/ExecutionStatus.h>

#include <chrono>
#include <optional>
#include <span>
#include <string_view>

namespace Core {

/// The closed list of error kinds. Each has one row in the table of errorKindTable().
enum class ErrorKind : unsigned {
    MalformedRequest,
    HeadersTooLarge,
    BodyTooLarge,
    SlowCaller,
    Unauthenticated,
    Forbidden,
    UnknownRoute,
    UnknownModel,
    UnknownService,
    MissingIdempotencyKey,
    InvalidIdempotencyKey,
    IssueTimeInFuture,
    KeyExpired,
    KeyConflict,
    KeyInProgress,
    KeyOutcomeUnknown,
    KeyClosed,
    AnswerNotKept,
    Overloaded,
    TeamLimitReached,
    DeadlineUnreachable,
    Draining,
    NotReady,
    LogUnavailable,
    NoUpstream,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimedOut,
    UpstreamAnswerMalformed,
    StreamInterrupted,
    PoisonRequest,
    ConfigurationInvalid,
    ConfigurationConflict,
    ConfigurationNotAccepted,
    PlatformUnavailable,
    PeerRejected,
    PeerUnavailable,
    FrameInvalid,
    SettingsInvalid,
    Internal,
};

/// One row of the table from kind to answer.
struct ErrorKindRow
{
    ErrorKind kind;
    std::string_view name;
    unsigned httpStatus;
    /// What became of the attempt, unless the place that raises the error knows better.
    ExecutionStatus attempt;
    std::optional<std::chrono::seconds> retryAfter;
    std::string_view meaning;
};

/// Every kind, in the order of the enumeration.
std::span<const ErrorKindRow> errorKindTable();

/// The row of one kind.
const ErrorKindRow &errorKindRow(ErrorKind kind);

} // namespace Core
