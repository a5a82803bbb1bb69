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

/// Append a record of the given kind for the given attempt.
struct AppendStep
{
    RecordKind kind = RecordKind::Claim;
    AttemptId attempt;
};

/// Ask the holder what became of its attempt. A reply must follow, if only Unreachable.
struct AskStep
{
    Holding holding;
};

/// Send the request to an upstream, once. A result must follow.
struct SendStep
{
    AttemptId attempt;
};

/// Answer the caller. Nothing follows.
struct AnswerStep
{
    Outcome outcome;
};

using AttemptStep = std::variant<AppendStep, AskStep, SendStep, AnswerStep>;

/// What an attempt needs of its surroundings.
struct AttemptHooks
{
    /// A fresh attempt id.
    std::function<AttemptId()> nextId;
    /// What the log, read so far, shows of the call's key.
    std::function<std::optional<KeyView>()> lookUp;
};

/// The decisions of one call, from its claim to its answer. It sends only in answer to winning,
/// within the claim timeout, and at most once. Does no input or output. Not safe from several
/// threads.
class ClaimAttempt
{
public:
    using Steps = std::vector<AttemptStep>;

    ClaimAttempt(Call call, const ClaimSettings &settings, AttemptHooks hooks);

    /// Starts to run the call.
    Steps start(Core::Clock::Monotonic now);
    /// Starts to seal the key, to refuse the call with a promise about all instances.
    Steps startClose(Core::ErrorKind refusal, Core::Clock::Monotonic now);
    /// The log decided this call's present attempt.
    Steps onVerdict(const Verdict &verdict, Core::Clock::Monotonic now);
    Steps onHolderReply(const HolderReply &reply, Core::Clock::Monotonic now);
    Steps onSendResult(const SendResult &result, Core::Clock::Monotonic now);
    Steps onTimer(Core::Clock::Monotonic now);

    const Call &call() const { return m_call; }
    const AttemptId &id() const { return m_id; }
    bool isClaiming() const { return m_state == State::Claiming; }
    bool isDone() const { return m_state == State::Done; }
    /// When onTimer() is due; empty while the request is being sent.
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
    /// When the present state is given up.
    Core::Clock::Monotonic m_deadline {};
    /// When a waiting call asks again.
    Core::Clock::Monotonic m_askAgainAt {};
    bool m_hasKeyRun = false;
    /// Set when the holder is asked for the key's status alone.
    std::optional<Core::ErrorKind> m_statusOnlyRefusal;
    Core::ErrorKind m_refusal = Core::ErrorKind::UpstreamUnreachable;
};

} // namespace Claims
