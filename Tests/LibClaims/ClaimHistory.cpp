#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimHistory.h>

using namespace Claims;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t InstanceCount = 3;
constexpr std::size_t PartitionCount = 2;
constexpr auto ActivePeriod = 40s;
constexpr auto Lease = 3s;
constexpr std::chrono::milliseconds RestartTime = 500ms;
// Later than the active period, the key window and the log's retention.
constexpr std::chrono::milliseconds LongFreezeEnd = 170s;

ClaimSettings historySettings()
{
    ClaimSettings settings {KeyWindow::create(60s, 1s, 100s, 10s).value()};
    settings.partitions = PartitionCount;
    settings.holderTimeout = 3s;
    return settings;
}

} // namespace

HistoryKind historyKind(std::uint64_t seed)
{
    return static_cast<HistoryKind>(seed % 4);
}

ClaimHistory::ClaimHistory(std::uint64_t seed, Mutation mutation)
    : m_rng(seed)
    , m_mutation(mutation)
    , m_epoch(m_clock.wallNow())
    , m_kind(historyKind(seed))
    , m_log(m_clock, m_kind == HistoryKind::ShortRetention ? 8s : 100s)
    , m_settings(historySettings())
    , m_instances(InstanceCount)
{ }

HistoryReport ClaimHistory::run()
{
    m_reusesIncarnations = hasCrashes() && chance(20);
    for (std::size_t n = 0; n < InstanceCount; ++n)
        start(n);
    scheduleCalls();
    if (!isFaultFree())
        scheduleFaults();
    runAfter(ActivePeriod, [this] { scheduleProbes(); });
    while (!m_events.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_clock.advance(std::max(Time(0), event.time - now()));
        event.task();
    }
    check();
    return m_report;
}

ClaimHistory::Time ClaimHistory::now() const
{
    return std::chrono::duration_cast<Time>(m_clock.wallNow() - m_epoch);
}

ClaimHistory::Time ClaimHistory::randomTime(int low, int high)
{
    return Time(low + static_cast<int>(m_rng() % static_cast<unsigned>(high - low + 1)));
}

bool ClaimHistory::chance(int percent)
{
    return m_rng() % 100 < static_cast<unsigned>(percent);
}

void ClaimHistory::runAfter(Time delay, Task task)
{
    m_events.push({now() + delay, m_order++, std::move(task)});
}

// Runs a task on the current process of an instance. The task is delayed while the instance is
// frozen, and dropped if that process has crashed.
void ClaimHistory::runOnInstance(std::size_t n, Time delay, Task task)
{
    const auto processEpoch = m_instances[n].processEpoch;
    runAfter(delay, [this, n, processEpoch, task = std::move(task)] {
        auto &it = m_instances[n];
        if (it.processEpoch != processEpoch || !it.engine)
            return;
        if (it.frozenUntil > now())
            runOnInstance(n, it.frozenUntil - now(), task);
        else
            task();
    });
}

void ClaimHistory::start(std::size_t n)
{
    auto &it = m_instances[n];
    ++it.processEpoch;
    const auto incarnation = m_reusesIncarnations ? 1 : it.processEpoch;
    const auto originNumber = m_mutation == Mutation::ReuseOrigin ? incarnation : it.processEpoch;
    const Holder self {Core::InstanceId("i" + std::to_string(n)), incarnation};
    it.engine = std::make_unique<ClaimEngine>(m_settings, self, n * 1000 + originNumber, m_clock);
    it.reading.assign(PartitionCount, false);
    it.timerAt = Time(-1);
    it.frozenUntil = Time(0);
    for (std::size_t partition = 0; partition < PartitionCount; ++partition)
        read(n, partition);
}

void ClaimHistory::crash(std::size_t n, std::optional<Time> restartTime)
{
    auto &it = m_instances[n];
    if (!it.engine)
        return;
    ++m_report.crashes;
    m_report.voids += it.engine->counters().voids;
    it.engine.reset();
    runAfter(restartTime ? *restartTime : randomTime(100, 3000), [this, n] { start(n); });
}

bool ClaimHistory::hasCrashes() const
{
    return m_kind == HistoryKind::Faults || m_kind == HistoryKind::ShortRetention;
}

bool ClaimHistory::maybeCrash(std::size_t n)
{
    if (!hasCrashes() || m_hasRecovered || !chance(2))
        return false;
    crash(n);
    return true;
}

bool ClaimHistory::isLogUnavailable(std::size_t n) const
{
    return m_instances[n].isDisconnected || (now() >= m_outageStart && now() < m_outageEnd);
}

void ClaimHistory::scheduleCalls()
{
    const auto keys = 3 + m_rng() % 5;
    for (std::uint64_t key = 0; key < keys; ++key) {
        const auto issued = randomTime(0, 30'000);
        Claims::Call request {{Core::TeamId("t"), "k" + std::to_string(key), {}}, 1};
        request.key.issuedAt = std::chrono::time_point_cast<std::chrono::milliseconds>(m_epoch)
                               + issued - randomTime(0, 200);
        // One key in eight is issued long before, so that it may expire between attempts.
        if (m_rng() % 8 == 0)
            request.key.issuedAt -= randomTime(40'000, 60'000);
        const auto attempts = 1 + m_rng() % 4;
        for (std::uint64_t n = 0; n < attempts; ++n) {
            auto resend = request;
            resend.digest = chance(10) ? 2 : 1;
            const auto later = chance(50) ? randomTime(0, 20) : randomTime(0, 8000);
            // The order in which arguments are evaluated differs between processors.
            const bool rejectsEarly = chance(15);
            scheduleCall(issued + later, m_rng() % InstanceCount, resend, rejectsEarly);
        }
    }
}

void ClaimHistory::scheduleFaults()
{
    if (chance(50)) {
        m_outageStart = randomTime(0, 30'000);
        m_outageEnd = m_outageStart + randomTime(500, 9000);
    }
    for (std::size_t n = 0; n < InstanceCount; ++n) {
        if (hasCrashes() && chance(40))
            runAfter(randomTime(0, 30'000), [this, n] { crash(n); });
        if (chance(40)) {
            runAfter(randomTime(0, 30'000),
                     [this, n] { m_instances[n].frozenUntil = now() + randomTime(500, 15'000); });
        }
    }
    if (chance(15)) {
        // One instance freezes for longer than window and retention. Afterwards it processes its
        // old claims and a call with a new key.
        m_hasLongFreeze = true;
        runAfter(randomTime(0, 30'000), [this] { m_instances[1].frozenUntil = LongFreezeEnd; });
        Claims::Call late {{Core::TeamId("t"), "late", {}}, 1};
        late.key.issuedAt =
            std::chrono::time_point_cast<std::chrono::milliseconds>(m_epoch) + LongFreezeEnd + 3s;
        scheduleCall(LongFreezeEnd + 2s, 0, late, false);
        scheduleCall(LongFreezeEnd + randomTime(2000, 4000), 1, late, false);
    }
    if (chance(40)) {
        // The last instance is alone in its data centre.
        auto &isolated = m_instances.back();
        const auto from = randomTime(0, 30'000);
        runAfter(from, [&isolated] { isolated.isDisconnected = true; });
        runAfter(from + randomTime(500, 9000), [&isolated] { isolated.isDisconnected = false; });
    }
    if (m_reusesIncarnations)
        scheduleRestartBeforeAnswer();
}

void ClaimHistory::scheduleRestartBeforeAnswer()
{
    const auto n = m_rng() % InstanceCount;
    const auto firstCrash = randomTime(0, 20'000);
    const auto call = firstCrash + RestartTime + randomTime(25, 100);
    const auto secondCrash = call + randomTime(60, 300);
    // Before the restarted instance has read the log.
    const auto resend = secondCrash + RestartTime + randomTime(0, 5);
    Claims::Call request {{Core::TeamId("t"), "restart", {}}, 1};
    request.key.issuedAt = std::chrono::time_point_cast<std::chrono::milliseconds>(m_epoch) + call;
    // The count of attempts starts anew, so that the key has the same number before and after.
    for (const auto time : {firstCrash, secondCrash})
        runAfter(time, [this, n] { crash(n, RestartTime); });
    for (const auto time : {call, resend})
        scheduleCall(time, n, request, false);
}

void ClaimHistory::scheduleCall(Time time, std::size_t n, const Claims::Call &request,
                                bool rejectsEarly)
{
    runAfter(time, [this, n, request, rejectsEarly] {
        auto &it = m_instances[n];
        if (!it.engine)
            return;
        const CallId id = m_calls.size() + 1;
        auto call = request;
        if (m_mutation == Mutation::IgnoreDigest)
            call.digest = 1;
        m_calls[id] = {n, it.processEpoch, request};
        m_calls[id].isProbe = m_hasRecovered;
        runOnInstance(n, 0ms, [this, n, id, call, rejectsEarly] {
            auto &engine = *m_instances[n].engine;
            if (!rejectsEarly)
                return execute(n, engine.begin(id, call));
            if (chance(30))
                return execute(n, engine.beginClose(id, call, Core::ErrorKind::PoisonRequest));
            const auto error = engine.earlyRejection(Core::ErrorKind::Overloaded, call.key);
            const bool reportsNotRun = m_mutation == Mutation::EarlyRejectionReportsNotRun;
            recordAnswer(id, {nullptr, false, error.kind(), error.attempt(),
                              reportsNotRun ? Core::ExecutionStatus::NotRun : *error.key()});
        });
    });
}

void ClaimHistory::execute(std::size_t n, ClaimActions actions)
{
    for (auto &action : actions) {
        if (maybeCrash(n))
            return;
        if (const auto *it = std::get_if<AppendBatch>(&action))
            append(n, *it);
        else if (const auto *it = std::get_if<AskAction>(&action))
            ask(n, *it);
        else if (const auto *it = std::get_if<SendAction>(&action))
            send(n, it->call);
        else if (const auto *it = std::get_if<AnswerAction>(&action))
            answer(n, *it);
    }
    auto &it = m_instances[n];
    const auto due = it.engine->nextDeadline();
    if (!due)
        return;
    const auto wait = std::chrono::ceil<Time>(std::max(*due - m_clock.now(), 0ns));
    const auto time = now() + wait;
    if (it.timerAt > now() && it.timerAt <= time)
        return;
    it.timerAt = time;
    runOnInstance(n, wait, [this, n] { execute(n, m_instances[n].engine->onTimer()); });
}

void ClaimHistory::append(std::size_t n, const AppendBatch &batch)
{
    const auto stream = ClaimEngine::streamName("", batch.partition, PartitionCount);
    const auto takeEffect = [this, stream, batch] {
        m_log.append(stream, batch.data);
        for (std::size_t reader = 0; reader < InstanceCount; ++reader)
            read(reader, batch.partition);
    };
    const auto reply = [this, n, id = batch.id](bool succeeded, Time delay) {
        runOnInstance(n, delay, [this, n, id, succeeded] {
            execute(n, m_instances[n].engine->onAppendResult(id, succeeded));
        });
    };
    if (isLogUnavailable(n))
        return reply(false, randomTime(50, 500));
    const auto roll = isFaultFree() ? 100 : m_rng() % 100;
    if (roll < 5)
        return reply(false, randomTime(50, 500));
    if (roll < 15) {
        // Takes effect late, possibly long after the claim timed out.
        runAfter(randomTime(1, 8000), takeEffect);
        return reply(false, randomTime(50, 500));
    }
    runAfter(randomTime(1, 20), takeEffect);
    reply(roll >= 25, randomTime(21, 60));
}

void ClaimHistory::read(std::size_t n, std::size_t partition)
{
    auto &it = m_instances[n];
    if (!it.engine || it.reading[partition])
        return;
    it.reading[partition] = true;
    runOnInstance(n, randomTime(1, 20), [this, n, partition] {
        auto &reader = m_instances[n];
        reader.reading[partition] = false;
        if (isLogUnavailable(n)) {
            reader.reading[partition] = true;
            runOnInstance(n, 200ms, [this, n, partition] {
                m_instances[n].reading[partition] = false;
                read(n, partition);
            });
            return;
        }
        const auto stream = ClaimEngine::streamName("", partition, PartitionCount);
        auto page = m_log.read(stream, reader.engine->partition(partition).nextOffset(), 50);
        mutatePage(n, page);
        execute(n, reader.engine->onPage(partition, page));
    });
}

void ClaimHistory::ask(std::size_t n, const AskAction &action)
{
    const auto id = action.call;
    const auto reply = [this, n, id](Time delay, const HolderReply &it) {
        runOnInstance(n, delay, [this, n, id, it] {
            execute(n, m_instances[n].engine->onHolderReply(id, it));
        });
    };
    const auto holder = static_cast<std::size_t>(action.query.holder.instance.value().back() - '0');
    const auto &peer = m_instances[holder];
    const bool reachable = peer.engine && peer.frozenUntil <= now() && !peer.isDisconnected
                           && !m_instances[n].isDisconnected && (isFaultFree() || !chance(10));
    if (reachable)
        reply(randomTime(2, 10), peer.engine->replyTo(action.query));
    else
        reply(randomTime(50, 300), {HolderState::Unreachable, nullptr});
}

void ClaimHistory::send(std::size_t n, CallId id)
{
    ++m_wins[m_calls.at(id).key()];
    runOnInstance(n, chance(70) ? 0ms : randomTime(1, 100), [this, n, id] {
        if (maybeCrash(n))
            return;
        simulateService(n, id);
    });
}

void ClaimHistory::simulateService(std::size_t n, CallId id)
{
    const auto result = [this, n, id](Time delay, const SendResult &it) {
        runOnInstance(n, delay, [this, n, id, it] {
            execute(n, m_instances[n].engine->onSendResult(id, it));
        });
    };
    auto &call = m_calls.at(id);
    const auto request = call.request;
    const auto roll = isFaultFree() ? 100 : m_rng() % 100;
    if (roll < 15)
        return result(randomTime(1, 20),
                      {SendState::NotSent, nullptr, Core::ErrorKind::UpstreamUnreachable});
    call.sent = true;
    ++m_sends[request.key.text];
    const auto runs = [this, id, request] {
        m_calls.at(id).ran = true;
        ++m_runs[request.key.text];
    };
    const auto body = std::make_shared<StoredAnswer>(StoredAnswer {200, "text", bodyOf(request)});
    if (roll >= 40) {
        runAfter(randomTime(1, 30), runs);
        return result(randomTime(31, 800), {SendState::Answered, body});
    }
    // The upstream crashes before running, runs and loses the answer, or answers after the timeout.
    if (roll < 32)
        runAfter(randomTime(1, 4000), runs);
    result(randomTime(100, 1500), {SendState::OutcomeLost, nullptr});
    if (roll < 24) {
        runOnInstance(n, randomTime(4001, 6000), [this, n, request, body] {
            execute(n, m_instances[n].engine->onLateAnswer(request.key, body));
        });
    }
    if (m_mutation == Mutation::ResendAfterLoss)
        runOnInstance(n, randomTime(1600, 2000), [this, n, id] { simulateService(n, id); });
}

void ClaimHistory::answer(std::size_t n, const AnswerAction &action)
{
    auto outcome = action.outcome;
    const bool claimTimedOut = outcome.error == Core::ErrorKind::LogUnavailable;
    if (m_mutation == Mutation::SendWithoutVerdict && claimTimedOut)
        simulateService(n, action.call);
    m_calls.at(action.call).sendsLateClaim = m_mutation == Mutation::SendLateClaim && claimTimedOut;
    if (m_mutation == Mutation::ExpiryReportsNotRun && outcome.error == Core::ErrorKind::KeyExpired)
        outcome.key = Core::ExecutionStatus::NotRun;
    recordAnswer(action.call, outcome);
}

void ClaimHistory::mutatePage(std::size_t n, Platform::LogPage &page)
{
    if (m_mutation == Mutation::HideGaps)
        page.first = 0;
    for (auto &it : page.records)
        mutateRecords(n, it);
}

void ClaimHistory::mutateRecords(std::size_t n, Platform::LogRecord &entry)
{
    const auto origin = m_instances[n].engine->origin();
    std::vector<ClaimRecord> kept;
    const auto records = decodeBatch(entry.data).value();
    for (const auto &it : records) {
        const bool isOwn = it.attempt.origin == origin;
        if (m_mutation == Mutation::IgnoreOtherClaims && !isOwn)
            continue;
        if (m_mutation == Mutation::IgnoreVoids && it.kind == RecordKind::Void)
            continue;
        if (m_mutation == Mutation::LeaseTakeover && it.kind == RecordKind::Claim) {
            const auto name = std::to_string(n) + it.key.text;
            const auto last = m_lastClaims.find(name);
            if (last != m_lastClaims.end() && now() - last->second.second > Lease) {
                kept.push_back(last->second.first);
                kept.back().kind = RecordKind::Void;
            }
            m_lastClaims.insert_or_assign(name, std::pair(it, now()));
        }
        if (isOwn && it.kind == RecordKind::Claim) {
            for (auto &[id, call] : m_calls) {
                if (call.sendsLateClaim && call.request.key == it.key)
                    simulateService(n, id);
                call.sendsLateClaim = call.sendsLateClaim && !(call.request.key == it.key);
            }
        }
        kept.push_back(it);
    }
    entry.data = encodeBatch(kept);
}
