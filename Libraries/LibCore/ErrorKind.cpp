#include <LibCore/ErrorKind.h>

#include <array>
#include <cstddef>

namespace Core {

namespace {

using namespace std::chrono_literals;
constexpr auto NoRetry = std::nullopt;

// clang-format off
constexpr std::array Rows {
    ErrorKindRow {ErrorKind::MalformedRequest, "malformed_request", 400, ExecutionStatus::NotRun, NoRetry, "The request is not valid HTTP, JSON or UTF-8, or a field has the wrong type."},
    ErrorKindRow {ErrorKind::HeadersTooLarge, "headers_too_large", 431, ExecutionStatus::NotRun, NoRetry, "The request's headers exceed the limit."},
    ErrorKindRow {ErrorKind::BodyTooLarge, "body_too_large", 413, ExecutionStatus::NotRun, NoRetry, "The request's body exceeds the limit."},
    ErrorKindRow {ErrorKind::SlowCaller, "slow_caller", 408, ExecutionStatus::NotRun, NoRetry, "The caller did not send its whole request in time."},
    ErrorKindRow {ErrorKind::Unauthenticated, "unauthenticated", 401, ExecutionStatus::NotRun, NoRetry, "The bearer key does not belong to any team."},
    ErrorKindRow {ErrorKind::Forbidden, "forbidden", 403, ExecutionStatus::NotRun, NoRetry, "The team has no contract for the model or service."},
    ErrorKindRow {ErrorKind::UnknownRoute, "unknown_route", 404, ExecutionStatus::NotRun, NoRetry, "No such path or method."},
    ErrorKindRow {ErrorKind::UnknownModel, "unknown_model", 404, ExecutionStatus::NotRun, NoRetry, "The configuration has no such model."},
    ErrorKindRow {ErrorKind::UnknownService, "unknown_service", 404, ExecutionStatus::NotRun, NoRetry, "The configuration has no such service."},
    ErrorKindRow {ErrorKind::MissingIdempotencyKey, "missing_idempotency_key", 400, ExecutionStatus::NotRun, NoRetry, "The call may not be repeated and carries no idempotency key or no issue time."},
    ErrorKindRow {ErrorKind::InvalidIdempotencyKey, "invalid_idempotency_key", 400, ExecutionStatus::NotRun, NoRetry, "The idempotency key or its issue time is malformed."},
    ErrorKindRow {ErrorKind::IssueTimeInFuture, "issue_time_in_future", 400, ExecutionStatus::NotRun, NoRetry, "The key's issue time is further in the future than the allowed clock skew."},
    ErrorKindRow {ErrorKind::KeyExpired, "key_expired", 410, ExecutionStatus::NotRun, NoRetry, "The key is older than the window in which it is remembered. This attempt did not run."},
    ErrorKindRow {ErrorKind::KeyConflict, "key_conflict", 422, ExecutionStatus::NotRun, NoRetry, "The key was already used with another request. This attempt did not run."},
    ErrorKindRow {ErrorKind::KeyInProgress, "key_in_progress", 409, ExecutionStatus::NotRun, 1s, "Another attempt of this key is running. This attempt did not run."},
    ErrorKindRow {ErrorKind::KeyOutcomeUnknown, "key_outcome_unknown", 409, ExecutionStatus::NotRun, NoRetry, "Another attempt of this key was sent and its outcome was lost. This attempt did not run."},
    ErrorKindRow {ErrorKind::KeyClosed, "key_closed", 409, ExecutionStatus::NotRun, NoRetry, "The key was closed without having run, for good. The call needs a new key."},
    ErrorKindRow {ErrorKind::AnswerNotKept, "answer_not_kept", 409, ExecutionStatus::NotRun, NoRetry, "Another attempt of this key completed, and its answer is no longer stored."},
    ErrorKindRow {ErrorKind::Overloaded, "overloaded", 503, ExecutionStatus::NotRun, 1s, "The upstreams and the queue before them are full, or the memory for bodies is."},
    ErrorKindRow {ErrorKind::TeamLimitReached, "team_limit_reached", 429, ExecutionStatus::NotRun, 1s, "The team has reached its limit."},
    ErrorKindRow {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, ExecutionStatus::NotRun, 1s, "The class's target can no longer be met."},
    ErrorKindRow {ErrorKind::Draining, "draining", 503, ExecutionStatus::NotRun, 1s, "This instance is shutting down."},
    ErrorKindRow {ErrorKind::NotReady, "not_ready", 503, ExecutionStatus::NotRun, 1s, "This instance has no configuration yet."},
    ErrorKindRow {ErrorKind::LogUnavailable, "log_unavailable", 503, ExecutionStatus::NotRun, 2s, "The platform's log does not respond, and the call must not run without it."},
    ErrorKindRow {ErrorKind::NoUpstream, "no_upstream", 503, ExecutionStatus::NotRun, 1s, "No live upstream serves the model or service."},
    ErrorKindRow {ErrorKind::UpstreamUnreachable, "upstream_unreachable", 502, ExecutionStatus::NotRun, 1s, "No upstream could be connected; nothing was sent."},
    ErrorKindRow {ErrorKind::UpstreamFailed, "upstream_failed", 502, ExecutionStatus::Unknown, NoRetry, "The upstream failed after the request was sent."},
    ErrorKindRow {ErrorKind::UpstreamTimedOut, "upstream_timed_out", 504, ExecutionStatus::Unknown, NoRetry, "The upstream did not answer in time."},
    ErrorKindRow {ErrorKind::UpstreamAnswerMalformed, "upstream_garbage", 502, ExecutionStatus::Unknown, NoRetry, "The upstream's answer is not valid."},
    ErrorKindRow {ErrorKind::StreamInterrupted, "stream_interrupted", 502, ExecutionStatus::Unknown, NoRetry, "The stream was interrupted and could not be resumed on another upstream."},
    ErrorKindRow {ErrorKind::PoisonRequest, "poison_request", 422, ExecutionStatus::NotRun, NoRetry, "Requests like this one have crashed several upstreams. This attempt did not run."},
    ErrorKindRow {ErrorKind::ConfigurationInvalid, "configuration_invalid", 422, ExecutionStatus::NotRun, NoRetry, "The configuration document is invalid."},
    ErrorKindRow {ErrorKind::ConfigurationConflict, "configuration_conflict", 409, ExecutionStatus::NotRun, NoRetry, "Another publication replaced the same generation first."},
    ErrorKindRow {ErrorKind::ConfigurationNotAccepted, "configuration_not_accepted", 409, ExecutionStatus::NotRun, NoRetry, "The trial environment has not accepted this document."},
    ErrorKindRow {ErrorKind::PlatformUnavailable, "platform_unavailable", 503, ExecutionStatus::Unknown, 2s, "The platform does not respond."},
    ErrorKindRow {ErrorKind::PeerRejected, "peer_rejected", 403, ExecutionStatus::NotRun, NoRetry, "The peer failed the handshake or speaks an incompatible protocol."},
    ErrorKindRow {ErrorKind::PeerUnavailable, "peer_unavailable", 503, ExecutionStatus::Unknown, 1s, "A sibling instance cannot be reached or did not answer in time."},
    ErrorKindRow {ErrorKind::FrameInvalid, "frame_invalid", 400, ExecutionStatus::NotRun, NoRetry, "A peer's frame is too large or does not verify."},
    ErrorKindRow {ErrorKind::SettingsInvalid, "settings_invalid", 500, ExecutionStatus::NotRun, NoRetry, "The settings of the process are invalid."},
    ErrorKindRow {ErrorKind::Internal, "internal", 500, ExecutionStatus::Unknown, NoRetry, "An internal error of this program."},
};
// clang-format on

constexpr bool rowsMatchEnumeration()
{
    for (std::size_t n = 0; n < Rows.size(); ++n) {
        if (static_cast<std::size_t>(Rows[n].kind) != n)
            return false;
    }
    return Rows.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}
static_assert(rowsMatchEnumeration());

} // namespace

std::span<const ErrorKindRow> errorKindTable()
{
    return Rows;
}

const ErrorKindRow &errorKindRow(ErrorKind kind)
{
    return Rows.at(static_cast<std::size_t>(kind));
}

} // namespace Core
