#include <LibClaims/ClaimAttempt.h>

#include <algorithm>

namespace Claims {

namespace {

using Core::ErrorKind;
using Core::ExecutionStatus;

Outcome refused(ErrorKind kind, ExecutionStatus key)
{
    return {nullptr, false, kind, ExecutionStatus::NotRun, key};
}

Outcome replayedAnswer(const AnswerPointer &answer)
{
    return {answer, true, std::nullopt, ExecutionStatus::NotRun, ExecutionStatus::Run};
}

ExecutionStatus executionStatusOf(HolderState state)
{
    if (state == HolderState::Finished)
        return ExecutionStatus::Run;
    return state == HolderState::Running ? ExecutionStatus::Running : ExecutionStatus::Unknown;
}

} // namespace

ClaimAttempt::ClaimAttempt(Call call, const ClaimSettings &settings, AttemptHooks hooks)
    : m_call(std::move(call))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
{ }

ClaimAttempt::Steps ClaimAttempt::start(Core::Clock::Monotonic now)
{
    m_startedAt = now;
    return claimOrAsk(now);
}

ClaimAttempt::Steps ClaimAttempt::startClose(ErrorKind refusal, Core::Clock::Monotonic now)
{
    m_startedAt = now;
    m_id = m_hooks.nextId();
    return closeKey(refusal, now);
}

ClaimAttempt::Steps ClaimAttempt::claimOrAsk(Core::Clock::Monotonic now)
{
    const auto view = m_hooks.lookUp();
    const bool decided = view && view->state != KeyState::Free && view->certain;
    if (!decided) {
        m_state = State::Claiming;
        m_id = m_hooks.nextId();
        m_deadline = now + m_settings.claimTimeout;
        return {AppendStep {RecordKind::Claim, m_id}};
    }
    m_state = State::Asking;
    if (view->digest != m_call.digest || view->issuedAt != m_call.key.issuedAt)
        return refuseWithKeyStatus(ErrorKind::KeyConflict, view->holding);
    if (view->state == KeyState::Closed)
        return answer(refused(ErrorKind::KeyClosed, ExecutionStatus::NotRun));
    m_hasKeyRun = view->state == KeyState::Finished;
    return ask(*view->holding);
}

ClaimAttempt::Steps ClaimAttempt::onVerdict(const Verdict &verdict, Core::Clock::Monotonic now)
{
    if (m_state == State::Closing) {
        if (verdict.kind == VerdictKind::KeyClosed)
            return answer(refused(m_refusal, ExecutionStatus::NotRun));
        if (verdict.kind == VerdictKind::Expired)
            return answer(refused(ErrorKind::KeyExpired, ExecutionStatus::Unknown));
        return refuseWithKeyStatus(m_refusal, verdict.holding);
    }
    if (m_state != State::Claiming)
        return {};
    switch (verdict.kind) {
    case VerdictKind::Won:
        if (now >= m_deadline)
            return voidAndRefuse(ErrorKind::LogUnavailable);
        m_state = State::Sending;
        return {SendStep {m_id}};
    case VerdictKind::Lost:
        return ask(*verdict.holding);
    case VerdictKind::KeyFinished:
        m_hasKeyRun = true;
        return ask(*verdict.holding);
    case VerdictKind::Conflict:
        return refuseWithKeyStatus(ErrorKind::KeyConflict, verdict.holding);
    case VerdictKind::KeyClosed:
        return answer(refused(ErrorKind::KeyClosed, ExecutionStatus::NotRun));
    case VerdictKind::Expired:
        return answer(refused(ErrorKind::KeyExpired, ExecutionStatus::Unknown));
    case VerdictKind::InFuture:
        // A repeated append of the same claim could win later, when its issue time is no longer in
        // the future. The void prevents that.
        return voidAndRefuse(ErrorKind::IssueTimeInFuture);
    case VerdictKind::AttemptEnded:
        return answer(refused(ErrorKind::LogUnavailable, ExecutionStatus::Unknown));
    case VerdictKind::Uncertain:
        return voidAndRefuse(ErrorKind::KeyOutcomeUnknown);
    }
    return {};
}

ClaimAttempt::Steps ClaimAttempt::onHolderReply(const HolderReply &reply,
                                                Core::Clock::Monotonic now)
{
    if (m_state != State::Asking)
        return {};
    if (m_statusOnlyRefusal)
        return onStatusReply(reply.state, now);
    switch (reply.state) {
    case HolderState::Finished:
        if (reply.answer)
            return answer(replayedAnswer(reply.answer));
        return answer(refused(ErrorKind::AnswerNotKept, ExecutionStatus::Run));
    case HolderState::Running:
        return waitOrAnswer(refused(ErrorKind::KeyInProgress, ExecutionStatus::Running), now);
    case HolderState::Deciding:
    case HolderState::GivenUp:
        return waitOrAnswer(refused(ErrorKind::KeyInProgress, ExecutionStatus::Unknown), now);
    case HolderState::Unreachable:
        return waitOrAnswer(outcomeWithoutHolder(), now);
    case HolderState::OutcomeLost:
    case HolderState::Gone:
        return answer(outcomeWithoutHolder());
    }
    return {};
}

ClaimAttempt::Steps ClaimAttempt::onSendResult(const SendResult &result, Core::Clock::Monotonic now)
{
    if (m_state != State::Sending)
        return {};
    if (result.state == SendState::NotSent)
        return closeKey(result.error, now);
    if (result.state == SendState::OutcomeLost)
        return answer(
            {nullptr, false, result.error, ExecutionStatus::Unknown, ExecutionStatus::Unknown});
    Steps steps {AppendStep {RecordKind::Finished, m_id}};
    const auto last =
        answer({result.answer, false, std::nullopt, ExecutionStatus::Run, ExecutionStatus::Run});
    steps.insert(steps.end(), last.begin(), last.end());
    return steps;
}

ClaimAttempt::Steps ClaimAttempt::onTimer(Core::Clock::Monotonic now)
{
    const auto due = deadline();
    if (!due || now < *due)
        return {};
    switch (m_state) {
    case State::Claiming:
        return voidAndRefuse(ErrorKind::LogUnavailable);
    case State::Closing:
        return answer(refused(m_refusal, ExecutionStatus::Unknown));
    case State::Waiting:
        return m_statusOnlyRefusal ? refuseWithKeyStatus(*m_statusOnlyRefusal, currentHolding())
                                   : claimOrAsk(now);
    case State::Asking:
        return answer(m_statusOnlyRefusal ? refused(*m_statusOnlyRefusal, ExecutionStatus::Unknown)
                                          : outcomeWithoutHolder());
    case State::Sending:
    case State::Done:
        return {};
    }
    return {};
}

std::optional<Core::Clock::Monotonic> ClaimAttempt::deadline() const
{
    switch (m_state) {
    case State::Claiming:
    case State::Closing:
        return m_deadline;
    case State::Waiting:
        return m_askAgainAt;
    case State::Asking:
        return m_startedAt + m_settings.holderTimeout;
    case State::Sending:
    case State::Done:
        return std::nullopt;
    }
    return std::nullopt;
}

ClaimAttempt::Steps ClaimAttempt::ask(const Holding &holding)
{
    m_state = State::Asking;
    return {AskStep {holding}};
}

// The call is refused whatever the holder replies; the reply only determines the key's status.
ClaimAttempt::Steps ClaimAttempt::refuseWithKeyStatus(ErrorKind refusal,
                                                      const std::optional<Holding> &holding)
{
    if (!holding)
        return answer(refused(refusal, ExecutionStatus::Unknown));
    m_statusOnlyRefusal = refusal;
    return ask(*holding);
}

ClaimAttempt::Steps ClaimAttempt::onStatusReply(HolderState state, Core::Clock::Monotonic now)
{
    const auto outcome = refused(*m_statusOnlyRefusal, executionStatusOf(state));
    const bool isTransient = state == HolderState::Deciding || state == HolderState::Unreachable;
    return isTransient ? waitOrAnswer(outcome, now) : answer(outcome);
}

std::optional<Holding> ClaimAttempt::currentHolding() const
{
    const auto view = m_hooks.lookUp();
    return view ? view->holding : std::nullopt;
}

ClaimAttempt::Steps ClaimAttempt::voidAndRefuse(ErrorKind refusal)
{
    Steps steps {AppendStep {RecordKind::Void, m_id}};
    const auto last = answer(refused(refusal, ExecutionStatus::Unknown));
    steps.insert(steps.end(), last.begin(), last.end());
    return steps;
}

// Unlike a void, a close prevents any later run of the key, and therefore lets the refusal state
// that the key has not run. The caller is still waiting for its answer, so it is worth an append.
ClaimAttempt::Steps ClaimAttempt::closeKey(ErrorKind refusal, Core::Clock::Monotonic now)
{
    m_state = State::Closing;
    m_refusal = refusal;
    m_deadline = now + m_settings.claimTimeout;
    return {AppendStep {RecordKind::Close, m_id}};
}

ClaimAttempt::Steps ClaimAttempt::waitOrAnswer(const Outcome &outcome, Core::Clock::Monotonic now)
{
    const auto askAgainAt = now + m_settings.askInterval;
    if (askAgainAt >= m_startedAt + m_settings.holderTimeout)
        return answer(outcome);
    m_state = State::Waiting;
    m_askAgainAt = askAgainAt;
    return {};
}

ClaimAttempt::Steps ClaimAttempt::answer(Outcome outcome)
{
    m_state = State::Done;
    return {AnswerStep {std::move(outcome)}};
}

Outcome ClaimAttempt::outcomeWithoutHolder() const
{
    if (m_hasKeyRun)
        return refused(ErrorKind::AnswerNotKept, ExecutionStatus::Run);
    return refused(ErrorKind::KeyOutcomeUnknown, ExecutionStatus::Unknown);
}

} // namespace Claims
