#pragma once

#include <LibClaims/ClaimRecord.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/ExecutionStatus.h>

#include <memory>
#include <optional>
#include <string>

namespace Claims {

/// An upstream's complete answer to a non-repeatable call, replayed to later attempts.
struct StoredAnswer
{
    unsigned httpStatus = 0;
    std::string contentType;
    std::string body;
};

using AnswerPointer = std::shared_ptr<const StoredAnswer>;

/// The result of sending a request.
enum class SendState {
    /// Every connection attempt failed before any byte of the request was sent.
    NotSent,
    Answered,
    /// The request was sent, and its outcome is unknown.
    OutcomeLost,
};

struct SendResult
{
    SendState state = SendState::OutcomeLost;
    /// Set if the state is Answered.
    AnswerPointer answer;
    /// The error reported to the caller in the other states.
    Core::ErrorKind error = Core::ErrorKind::UpstreamFailed;
};

/// The result of a call: an answer or a refusal, with the execution status of this attempt and the
/// execution status of the key across all instances.
struct Outcome
{
    AnswerPointer answer;
    /// Whether the answer comes from an earlier attempt.
    bool replayed = false;
    std::optional<Core::ErrorKind> error;
    Core::ExecutionStatus attempt = Core::ExecutionStatus::Unknown;
    Core::ExecutionStatus key = Core::ExecutionStatus::Unknown;
};

/// One non-repeatable call.
struct Call
{
    ClaimKey key;
    /// A digest of the request, to detect a key that is reused with a different body.
    std::uint64_t digest = 0;
};

/// A query to the holder of a key for the state of its attempt.
struct HolderQuery
{
    ClaimKey key;
    AttemptId attempt;
    Holder holder;
};

/// State of an attempt as reported by its holder. The values are part of the peer protocol and must
/// not change.
enum class HolderState : std::uint8_t {
    /// The holder has not yet read from the log that its claim won.
    Deciding = 0,
    Running = 1,
    Finished = 2,
    /// The request was sent, and its outcome is unknown.
    OutcomeLost = 3,
    /// The request was not sent and never will be.
    GivenUp = 4,
    /// The holder's incarnation has ended, or the attempt is no longer stored.
    Gone = 5,
    /// The holder did not reply; a later query may succeed.
    Unreachable = 6,
};

struct HolderReply
{
    HolderState state = HolderState::Unreachable;
    /// Set if the state is Finished and the answer is still stored.
    AnswerPointer answer;
};

} // namespace Claims
