#pragma once

#include <LibClaims/ClaimRecord.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/ExecutionStatus.h>

#include <memory>
#include <optional>
#include <string>

namespace Claims {

/// An upstream's whole answer to a non-repeatable call, as it is replayed to later attempts.
struct StoredAnswer
{
    unsigned httpStatus = 0;
    std::string contentType;
    std::string body;
};

using AnswerPointer = std::shared_ptr<const StoredAnswer>;

/// What sending the request came to.
enum class SendState {
    /// Every connect was refused before the first byte could leave the process.
    NotSent,
    Answered,
    /// The request was sent and its outcome is lost.
    OutcomeLost,
};

struct SendResult
{
    SendState state = SendState::OutcomeLost;
    /// Set when answered.
    AnswerPointer answer;
    /// What the caller is told otherwise.
    Core::ErrorKind error = Core::ErrorKind::UpstreamFailed;
};

/// How a call ended: the answer, or the refusal, with two facts: what became of this attempt, and
/// what is known of the key over all instances.
struct Outcome
{
    AnswerPointer answer;
    /// Whether the answer is that of an earlier attempt.
    bool replayed = false;
    std::optional<Core::ErrorKind> error;
    Core::ExecutionStatus attempt = Core::ExecutionStatus::Unknown;
    Core::ExecutionStatus key = Core::ExecutionStatus::Unknown;
};

/// One non-repeatable call.
struct Call
{
    ClaimKey key;
    /// A digest of the request that tells one body from another.
    std::uint64_t digest = 0;
};

/// Asks the holder of a key what became of its attempt.
struct HolderQuery
{
    ClaimKey key;
    AttemptId attempt;
    Holder holder;
};

/// What the holder knows of its attempt. The values cross the peer link and never change.
enum class HolderState : std::uint8_t {
    /// The log has not yet shown the holder that it won.
    Deciding = 0,
    Running = 1,
    Finished = 2,
    /// Sent, and the outcome is lost.
    OutcomeLost = 3,
    /// Never sent and never will be.
    GivenUp = 4,
    /// That life of the instance is over, or it knows nothing of the attempt any more.
    Gone = 5,
    /// No answer came. It may yet come.
    Unreachable = 6,
};

struct HolderReply
{
    HolderState state = HolderState::Unreachable;
    /// Set when finished and still kept.
    AnswerPointer answer;
};

} // namespace Claims
