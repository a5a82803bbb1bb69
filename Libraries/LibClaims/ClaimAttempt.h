#pragma once

#include <LibClaims/ClaimIndex.h>
#include <LibClaims/ClaimSettings.h>
#include <LibClaims/Outcome.h>
#include <LibCore/Clock.h>

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace Claims {

/// Requests that a record of the given kind be appended for the attempt.
struct AppendStep
{
    RecordKind kind = RecordKind::Claim;
    AttemptId attempt;
};

/// Requests a query to the holder of the key. onHolderReply() must follow, with Unreachable if no
/// reply arrives.
struct AskStep
{
    Holding holding;
};

/// Requests that the call be sent to an upstream exactly once. onSendResult() must follow.
struct SendStep
{
    AttemptId attempt;
};

/// Requests that the caller be answered. This is the last step of an attempt.
struct AnswerStep
{
    Outcome outcome;
};

using AttemptStep = std::variant<AppendStep, AskStep, SendStep, AnswerStep>;

/// Callbacks through which an attempt uses its engine.
struct AttemptHooks
{
    /// Returns a new, unique attempt id.
    std::function<AttemptId()> nextId;
    /// Returns the state of the call's key according to the part of the log read so far.
    std::function<std::optional<KeyView>()> lookUp;
};

/// State machine of one call, from its claim to its answer. It sends the request at most once, and
/// only if it wins its claim within the claim timeout. Does no input or output. Not thread-safe.
class ClaimAttempt
{
public:
    using Steps = std::vector<AttemptStep>;

    ClaimAttempt(Call call, const ClaimSettings &settings, AttemptHooks hooks);

    /// Starts the call.
    Steps start(Core::Clock::Monotonic now);
    /// Starts to close the key and refuse the call. A closed key guarantees that no instance has
    /// run or will run the call.
    Steps startClose(Core::ErrorKind refusal, Core::Clock::Monotonic now);
    /// Handles the log's verdict on the current attempt of this call.
    Steps onVerdict(const Verdict &verdict, Core::Clock::Monotonic now);
    Steps onHolderReply(const HolderReply &reply, Core::Clock::Monotonic now);
    Steps onSendResult(const SendResult &result, Core::Clock::Monotonic now);
    Steps onTimer(Core::Clock::Monotonic now);

    const Call &call() const { return m_call; }
    const AttemptId &id() const { return m_id; }
    bool isClaiming() const { return m_state == State::Claiming; }
    bool isDone() const { return m_state == State::Done; }
    /// Returns when onTimer() is due, or nullopt while the request is being sent and after the
    /// answer.
    std::optional<Core::Clock::Monotonic> deadline() const;

private:
    enum class State {
        Claiming,
        Asking,
        Waiting,
        Sending,
        Closing,
        Done,
    };

    Steps claimOrAsk(Core::Clock::Monotonic now);
    Steps ask(const Holding &holding);
    Steps refuseWithKeyStatus(Core::ErrorKind refusal, const std::optional<Holding> &holding);
    Steps onStatusReply(HolderState state, Core::Clock::Monotonic now);
    std::optional<Holding> currentHolding() const;
    Steps voidAndRefuse(Core::ErrorKind refusal);
    Steps closeKey(Core::ErrorKind refusal, Core::Clock::Monotonic now);
    Steps waitOrAnswer(const Outcome &outcome, Core::Clock::Monotonic now);
    Steps answer(Outcome outcome);
    Outcome outcomeWithoutHolder() const;

    Call m_call;
    const ClaimSettings &m_settings;
    AttemptHooks m_hooks;
    State m_state = State::Claiming;
    AttemptId m_id;
    Core::Clock::Monotonic m_startedAt {};
    /// When the Claiming or Closing state times out.
    Core::Clock::Monotonic m_deadline {};
    /// When a call in the Waiting state queries the holder again.
    Core::Clock::Monotonic m_askAgainAt {};
    /// Whether the log shows that the key has run.
    bool m_hasKeyRun = false;
    /// Set if the call is refused in any case and the holder is queried only for the key's status.
    std::optional<Core::ErrorKind> m_statusOnlyRefusal;
    Core::ErrorKind m_refusal = Core::ErrorKind::UpstreamUnreachable;
};

} // namespace Claims
