#include <LibClaims/ClaimEngine.h>
#include <LibCore/EventLog.h>

#include <algorithm>

namespace Claims {

namespace {

using Core::ErrorKind;
using Core::ExecutionStatus;

constexpr std::chrono::seconds AnswerExpiryInterval {30};

} // namespace

ClaimEngine::ClaimEngine(const ClaimSettings &settings, Holder self, std::uint64_t origin,
                         const Core::Clock &clock)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_clock(clock)
    , m_partitions(settings.partitions, ClaimPartition(settings.window))
    , m_writer(settings.batch, settings.partitions, m_counters)
    , m_answers(settings.answerBytes)
    , m_origin(origin)
{ }

ClaimActions ClaimEngine::begin(CallId call, const Call &request)
{
    ClaimActions actions;
    if (rejectEarly(call, request, actions))
        return addDueAppends(std::move(actions));
    execute(call, addAttempt(call, request).start(m_clock.now()), actions);
    return addDueAppends(std::move(actions));
}

ClaimActions ClaimEngine::beginClose(CallId call, const Call &request, ErrorKind refusal)
{
    ClaimActions actions;
    if (rejectEarly(call, request, actions))
        return addDueAppends(std::move(actions));
    execute(call, addAttempt(call, request).startClose(refusal, m_clock.now()), actions);
    return addDueAppends(std::move(actions));
}

ClaimActions ClaimEngine::onAppendResult(std::uint64_t batchId, bool succeeded)
{
    m_writer.onResult(batchId, succeeded, m_clock.now());
    return addDueAppends({});
}

ClaimActions ClaimEngine::onPage(std::size_t partition, const Platform::LogPage &page)
{
    ClaimActions actions;
    auto &reader = m_partitions[partition];
    const auto rebuilds = reader.rebuildCount();
    const auto malformed = reader.malformedCount();
    // The whole page is applied before any call is answered, so that answers reflect all of it.
    std::vector<std::pair<ClaimRecord, Verdict>> ownRecords;
    reader.consume(page, m_clock.wallNow(), [&](const auto &record, const auto &verdict) {
        if (record.attempt.origin == m_origin)
            ownRecords.emplace_back(record, verdict);
    });
    for (const auto &[record, verdict] : ownRecords)
        onOwnRecord(record, verdict, actions);
    noteFaults(partition, reader.rebuildCount() - rebuilds, reader.malformedCount() - malformed);
    return addDueAppends(std::move(actions));
}

void ClaimEngine::noteFaults(std::size_t partition, std::uint64_t rebuilds, std::uint64_t malformed)
{
    m_counters.rebuilds += rebuilds;
    m_counters.malformed += malformed;
    const auto stream = streamName(partition);
    if (rebuilds > 0)
        Core::logEvent(Core::EventId::ClaimIndexRebuilt, {{"stream", stream}});
    if (malformed > 0)
        Core::logEvent(Core::EventId::LogRecordInvalid, {{"stream", stream}});
}

ClaimActions ClaimEngine::onHolderReply(CallId call, const HolderReply &reply)
{
    ClaimActions actions;
    const auto it = m_calls.find(call);
    if (it != m_calls.end())
        execute(call, it->second->onHolderReply(reply, m_clock.now()), actions);
    return addDueAppends(std::move(actions));
}

ClaimActions ClaimEngine::onSendResult(CallId call, const SendResult &result)
{
    ClaimActions actions;
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return actions;
    auto &attempt = *it->second;
    const auto expiresAt = expiryTime(attempt.call().key);
    switch (result.state) {
    case SendState::Answered:
        m_answers.finish(attempt.id(), result.answer, expiresAt);
        break;
    case SendState::OutcomeLost:
        m_answers.setState(attempt.id(), HolderState::OutcomeLost, expiresAt);
        Core::logEvent(Core::EventId::ClaimFateUnknown,
                       {{"team", attempt.call().key.team.value()}});
        break;
    case SendState::NotSent:
        m_answers.setState(attempt.id(), HolderState::GivenUp, expiresAt);
        break;
    }
    execute(call, attempt.onSendResult(result, m_clock.now()), actions);
    return addDueAppends(std::move(actions));
}

ClaimActions ClaimEngine::onLateAnswer(const ClaimKey &key, const AnswerPointer &answer)
{
    const auto view = m_partitions[partitionOf(key)].index().find(key);
    if (!view || view->state != KeyState::Held)
        return {};
    const auto reply = m_answers.find(view->holding->attempt);
    if (!reply || reply->state != HolderState::OutcomeLost)
        return {};
    m_answers.finish(view->holding->attempt, answer, expiryTime(key));
    m_writer.enqueue(partitionOf(key),
                     makeRecord(RecordKind::Finished, {key, view->digest}, view->holding->attempt),
                     m_clock.now());
    return addDueAppends({});
}

ClaimActions ClaimEngine::onTimer()
{
    ClaimActions actions;
    const auto now = m_clock.now();
    expireAnswers();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto call = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto it = m_calls.find(call);
        if (it != m_calls.end())
            execute(call, it->second->onTimer(now), actions);
    }
    return addDueAppends(std::move(actions));
}

std::optional<Core::Clock::Monotonic> ClaimEngine::nextDeadline() const
{
    const auto due = m_writer.nextDeadline(m_clock.now());
    if (m_deadlines.empty())
        return due;
    const auto first = m_deadlines.begin()->first;
    return due ? std::min(*due, first) : first;
}

HolderReply ClaimEngine::replyTo(const HolderQuery &query) const
{
    if (query.holder != m_self)
        return {HolderState::Gone, nullptr};
    if (const auto reply = m_answers.find(query.attempt))
        return *reply;
    if (m_callByAttempt.contains(query.attempt))
        return {HolderState::Deciding, nullptr};
    return {HolderState::Gone, nullptr};
}

ExecutionStatus ClaimEngine::keyExecutionStatus(const ClaimKey &key) const
{
    const auto view = m_partitions[partitionOf(key)].index().find(key);
    if (!view || !view->certain)
        return ExecutionStatus::Unknown;
    if (view->state == KeyState::Finished)
        return ExecutionStatus::Run;
    if (view->state == KeyState::Closed)
        return ExecutionStatus::NotRun;
    if (view->state == KeyState::Free)
        return ExecutionStatus::Unknown;
    const auto reply = m_answers.find(view->holding->attempt);
    if (reply && reply->state == HolderState::Finished)
        return ExecutionStatus::Run;
    return reply && reply->state == HolderState::Running ? ExecutionStatus::Running
                                                         : ExecutionStatus::Unknown;
}

Core::Error ClaimEngine::earlyRejection(ErrorKind kind, const ClaimKey &key) const
{
    return {kind, {}, ExecutionStatus::NotRun, keyExecutionStatus(key)};
}

std::size_t ClaimEngine::partitionOf(const ClaimKey &key) const
{
    return key.id().high % m_partitions.size();
}

bool ClaimEngine::isCaughtUp() const
{
    return std::ranges::all_of(m_partitions, &ClaimPartition::isCaughtUp);
}

std::string ClaimEngine::streamName(const std::string &environment, std::size_t partition,
                                    std::size_t count)
{
    return "claims." + environment + "-" + std::to_string(count) + "-" + std::to_string(partition);
}

std::string ClaimEngine::streamName(std::size_t partition) const
{
    return streamName(m_settings.environment, partition, m_partitions.size());
}

bool ClaimEngine::rejectEarly(CallId call, const Call &request, ClaimActions &actions)
{
    auto refusal = m_settings.window.check(request.key, m_clock.wallNow());
    const auto &index = m_partitions[partitionOf(request.key)].index();
    // A claim on an uncertain key cannot win and would have to be voided.
    if (!refusal && !index.find(request.key) && !index.isCertain(request.key.issuedAt))
        refusal = ErrorKind::KeyOutcomeUnknown;
    if (refusal)
        answer(call,
               {nullptr, false, refusal, ExecutionStatus::NotRun, keyExecutionStatus(request.key)},
               actions);
    return refusal.has_value();
}

ClaimAttempt &ClaimEngine::addAttempt(CallId call, const Call &request)
{
    AttemptHooks hooks;
    hooks.nextId = [this, call] {
        const AttemptId id {m_origin, m_nextSequence++};
        m_callByAttempt.erase(m_calls.at(call)->id());
        m_callByAttempt[id] = call;
        return id;
    };
    hooks.lookUp = [this, key = request.key] {
        return m_partitions[partitionOf(key)].index().find(key);
    };
    auto attempt = std::make_unique<ClaimAttempt>(request, m_settings, std::move(hooks));
    return *(m_calls[call] = std::move(attempt));
}

void ClaimEngine::execute(CallId call, const ClaimAttempt::Steps &steps, ClaimActions &actions)
{
    for (const auto &step : steps) {
        if (const auto *it = std::get_if<AppendStep>(&step))
            append(call, *it);
        else if (const auto *it = std::get_if<AskStep>(&step))
            ask(call, *it, actions);
        else if (const auto *it = std::get_if<AnswerStep>(&step))
            answer(call, it->outcome, actions);
        else if (const auto *it = std::get_if<SendStep>(&step)) {
            m_answers.setState(it->attempt, HolderState::Running,
                               expiryTime(m_calls.at(call)->call().key));
            actions.emplace_back(SendAction {call});
        }
    }
    scheduleTimer(call);
}

void ClaimEngine::append(CallId call, const AppendStep &step)
{
    const auto &request = m_calls.at(call)->call();
    const auto partition = partitionOf(request.key);
    if (step.kind == RecordKind::Claim)
        ++m_counters.claims;
    if (step.kind == RecordKind::Void) {
        m_answers.setState(step.attempt, HolderState::GivenUp, expiryTime(request.key));
        if (m_writer.cancelClaim(partition, step.attempt))
            return;
        ++m_counters.voids;
        Core::logEvent(Core::EventId::ClaimVoided, {{"team", request.key.team.value()}});
    }
    m_writer.enqueue(partition, makeRecord(step.kind, request, step.attempt), m_clock.now());
}

void ClaimEngine::ask(CallId call, const AskStep &step, ClaimActions &actions)
{
    const HolderQuery query {m_calls.at(call)->call().key, step.holding.attempt,
                             step.holding.holder};
    if (query.holder != m_self) {
        actions.emplace_back(AskAction {call, query});
        return;
    }
    const auto reply = replyTo(query);
    execute(call, m_calls.at(call)->onHolderReply(reply, m_clock.now()), actions);
}

void ClaimEngine::answer(CallId call, Outcome outcome, ClaimActions &actions)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        // The log may show more than the attempt knew when it decided.
        if (outcome.key == ExecutionStatus::Unknown)
            outcome.key = keyExecutionStatus(it->second->call().key);
        if (outcome.error == ErrorKind::KeyOutcomeUnknown && outcome.key == ExecutionStatus::Run)
            outcome.error = ErrorKind::AnswerNotKept;
        m_callByAttempt.erase(it->second->id());
        m_calls.erase(it);
    }
    ++m_counters.outcomes;
    m_counters.unknownKeys += outcome.key == ExecutionStatus::Unknown ? 1 : 0;
    actions.emplace_back(AnswerAction {call, std::move(outcome)});
}

void ClaimEngine::onOwnRecord(const ClaimRecord &record, const Verdict &verdict,
                              ClaimActions &actions)
{
    m_writer.noteRead(partitionOf(record.key), record.kind, record.attempt);
    const auto call = m_callByAttempt.find(record.attempt);
    const bool decides = record.kind == RecordKind::Claim || record.kind == RecordKind::Close;
    if (!decides || call == m_callByAttempt.end())
        return;
    auto &attempt = *m_calls.at(call->second);
    // A claim that is read back after the same attempt has begun to close its key is ignored.
    if (attempt.id() != record.attempt
        || (record.kind == RecordKind::Claim && !attempt.isClaiming()))
        return;
    execute(call->second, attempt.onVerdict(verdict, m_clock.now()), actions);
}

ClaimActions ClaimEngine::addDueAppends(ClaimActions actions)
{
    for (auto &it : m_writer.poll(m_clock.now()))
        actions.emplace_back(std::move(it));
    return actions;
}

ClaimRecord ClaimEngine::makeRecord(RecordKind kind, const Call &call,
                                    const AttemptId &attempt) const
{
    return {kind, call.key, call.digest, attempt, m_self};
}

void ClaimEngine::scheduleTimer(CallId call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    if (const auto due = it->second->deadline())
        m_deadlines.emplace(*due, call);
}

void ClaimEngine::expireAnswers()
{
    const auto now = m_clock.now();
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + AnswerExpiryInterval;
    m_answers.expire(m_clock.wallNow());
}

IssueTime ClaimEngine::expiryTime(const ClaimKey &key) const
{
    return key.issuedAt + m_settings.window.window() + m_settings.window.skew();
}

} // namespace Claims
