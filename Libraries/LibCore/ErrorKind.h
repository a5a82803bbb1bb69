#pragma once

#include <LibCore/ExecutionStatus.h>

#include <chrono>
#include <optional>
#include <span>
#include <string_view>

namespace Core {

/// All error kinds. Each has one row in errorKindTable().
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

/// Maps an error kind to the response that callers receive.
struct ErrorKindRow
{
    ErrorKind kind;
    std::string_view name;
    unsigned httpStatus;
    /// The default execution status of the attempt; the code that throws may override it.
    ExecutionStatus attempt;
    std::optional<std::chrono::seconds> retryAfter;
    std::string_view meaning;
};

/// Returns the rows of all kinds, in the order of the enumeration.
std::span<const ErrorKindRow> errorKindTable();

/// Returns the row of one kind.
const ErrorKindRow &errorKindRow(ErrorKind kind);

} // namespace Core
