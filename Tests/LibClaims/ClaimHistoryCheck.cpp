#include <LibClaims/ClaimHistory.h>

using namespace Claims;
using namespace std::chrono_literals;

void ClaimHistory::recordAnswer(CallId id, const Outcome &outcome)
{
    auto &call = m_calls.at(id);
    if (call.answered)
        addViolation(id, "answered twice");
    call.answered = true;
    const auto key = call.key();
    m_answers.push_back({id, outcome, m_runs[key] > 0, m_wins[key] > 0});
    ++m_report.answers;
    m_report.replays += outcome.replayed ? 1 : 0;
    if (outcome.key != Core::ExecutionStatus::Unknown)
        return;
    ++m_report.unknownKeys;
    const auto kind = outcome.error ? Core::errorKindRow(*outcome.error).name : "answer";
    ++m_report.unknownByKind[std::string(kind)];
    const auto &engine = *m_instances[call.instance].engine;
    const auto view =
        engine.partition(engine.partitionOf(call.request.key)).index().find(call.request.key);
    if (view && view->certain
        && (view->state == KeyState::Finished || view->state == KeyState::Closed))
        addViolation(id,
                     "the key was reported as unknown, but the log read so far shows its status");
}

// After the faults have ended, one more attempt of each key is made at instance 0. In histories
// without crashes, a key that was never sent must not still be held; only an instance in a long
// freeze may hold one.
void ClaimHistory::scheduleProbes()
{
    m_hasRecovered = true;
    m_outageEnd = now();
    std::map<std::string, Claims::Call> keys;
    for (const auto &[id, call] : m_calls)
        keys.insert_or_assign(call.key(), call.request);
    for (auto &[name, request] : keys) {
        request.digest = 1;
        scheduleCall(20s, 0, request, false);
    }
}

void ClaimHistory::check()
{
    for (const auto &[key, count] : m_runs) {
        m_report.runs += count;
        if (count > 1)
            addViolation(0, key + " ran " + std::to_string(count) + " times");
    }
    for (const auto &it : m_answers) {
        const auto &call = m_calls.at(it.call);
        const auto &outcome = it.outcome;
        const auto key = call.key();
        if (outcome.attempt == Core::ExecutionStatus::NotRun && call.ran)
            addViolation(it.call, "the attempt was reported as not run, but it ran");
        if (outcome.attempt == Core::ExecutionStatus::Run && !call.ran)
            addViolation(it.call, "the attempt was reported as run, but it did not run");
        if (outcome.key == Core::ExecutionStatus::NotRun && m_runs[key] > 0)
            addViolation(it.call, "the key was reported as not run, but it ran");
        if (outcome.key == Core::ExecutionStatus::Run && !it.keyHadRun)
            addViolation(it.call, "the key was reported as run, but it had not run");
        if (outcome.key == Core::ExecutionStatus::Running && !it.keyHadWinner)
            addViolation(it.call, "the key was reported as running, but no attempt had won it");
        if (outcome.answer && outcome.answer->body != bodyOf(call.request))
            addViolation(it.call, "the answer belongs to another request");
        const bool inDoubt = outcome.error == Core::ErrorKind::KeyOutcomeUnknown
                             || outcome.error == Core::ErrorKind::KeyInProgress;
        if (call.isProbe && inDoubt && m_report.crashes == 0 && !m_hasLongFreeze
            && m_kind != HistoryKind::ShortRetention && m_sends[key] == 0)
            addViolation(it.call, "a key that was never sent remains held");
    }
    for (const auto &[id, call] : m_calls) {
        if (!call.answered && call.processEpoch == m_instances[call.instance].processEpoch)
            addViolation(id, "never answered");
    }
    for (const auto &it : m_instances) {
        m_report.voids += it.engine->counters().voids;
        m_report.rebuilds += it.engine->counters().rebuilds;
    }
}

void ClaimHistory::addViolation(CallId id, const std::string &text)
{
    m_report.violations.push_back("call " + std::to_string(id) + ": " + text);
}
