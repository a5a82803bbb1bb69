#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimHistory.h>

using namespace Claims;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t InstanceCount = 3;
constexpr std::size_t PartitionCount = 2;
constexpr auto PlannedTime = 40s;
constexpr auto Lease = 3s;
// Past the planned time, the window and the log's retention.
constexpr std::chrono::milliseconds LongSleepEnd = 170s;

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
    , m_log(m_clock, m_kind == HistoryKind::EarlyLoss ? 8s : 100s)
    , m_settings(historySettings())
    , m_instances(InstanceCount)
{ }

HistoryReport ClaimHistory::run()
{
    m_reusesIncarnations = hasCrashes() && chance(20);
    for (std::size_t n = 0; n < InstanceCount; ++n)
        start(n);
    plan();
    if (!isCalm())
        planFaults();
    at(PlannedTime, [this] { probe(); });
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

ClaimHistory::Time ClaimHistory::between(int low, int high)
{
    return Time(low + static_cast<int>(m_rng() % static_cast<unsigned>(high - low + 1)));
}

bool ClaimHistory::chance(int percent)
{
    return m_rng() % 100 < static_cast<unsigned>(percent);
}

void ClaimHistory::at(Time delay, Task task)
{
    m_events.push({now() + delay, m_order++, std::move(task)});
}

// Runs a task on a life of an instance: never after its end, and only when it is not frozen.
void ClaimHistory::deliver(std::size_t n, Time delay, Task task)
{
    const auto life = m_instances[n].life;
    at(delay, [this, n, life, task = std::move(task)] {
        auto &it = m_instances[n];
        if (it.life != life || !it.engine)
            return;
        if (it.frozenUntil > now())
            deliver(n, it.frozenUntil - now(), task);
        else
            task();
    });
}

void ClaimHistory::start(std::size_t n)
{
    auto &it = m_instances[n];
    ++it.life;
    const auto incarnation = m_reusesIncarnations ? 1 : it.life;
    const auto named = m_mutation == Mutation::ReuseOrigin ? incarnation : it.life;
    const Holder self {Core::InstanceId("i" + std::to_string(n)), incarnation};
    it.engine = std::make_unique<ClaimEngine>(m_settings, self, n * 1000 + named, m_clock);
    it.reading.assign(PartitionCount, false);
    it.timerAt = Time(-1);
    it.frozenUntil = Time(0);
    for (std::size_t partition = 0; partition < PartitionCount; ++partition)
        read(n, partition);
}

void ClaimHistory::crash(std::size_t n)
{
    auto &it = m_instances[n];
    if (!it.engine)
        return;
    ++m_report.crashes;
    m_report.voids += it.engine->counters().voids;
    it.engine.reset();
    at(between(100, 3000), [this, n] { start(n); });
}

bool ClaimHistory::hasCrashes() const
{
    return m_kind == HistoryKind::Faults || m_kind == HistoryKind::EarlyLoss;
}

bool ClaimHistory::crashesHere(std::size_t n)
{
    if (!hasCrashes() || m_quiet || !chance(2))
        return false;
    crash(n);
    return true;
}

bool ClaimHistory::logIsOut(std::size_t n) const
{
    return m_instances[n].cut || (now() >= m_outFrom && now() < m_outUntil);
}

void ClaimHistory::plan()
{
    const auto keys = 3 + m_rng() % 5;
    for (std::uint64_t key = 0; key < keys; ++key) {
        const auto issued = between(0, 30'000);
        Claims::Call request {{Core::TeamId("t"), "k" + std::to_string(key), {}}, 1};
        request.key.issuedAt = std::chrono::time_point_cast<std::chrono::milliseconds>(m_epoch)
                               + issued - between(0, 200);
        // One key in eight is near the end of its window, so that it expires between attempts.
        if (m_rng() % 8 == 0)
            request.key.issuedAt -= between(40'000, 60'000);
        const auto attempts = 1 + m_rng() % 4;
        for (std::uint64_t n = 0; n < attempts; ++n) {
            auto resend = request;
            resend.digest = chance(10) ? 2 : 1;
            const auto later = chance(50) ? between(0, 20) : between(0, 8000);
            callAt(issued + later, m_rng() % InstanceCount, resend, chance(15));
        }
    }
}

void ClaimHistory::planFaults()
{
    if (chance(50)) {
        m_outFrom = between(0, 30'000);
        m_outUntil = m_outFrom + between(500, 9000);
    }
    for (std::size_t n = 0; n < InstanceCount; ++n) {
        if (hasCrashes() && chance(40))
            at(between(0, 30'000), [this, n] { crash(n); });
        if (chance(40)) {
            at(between(0, 30'000),
               [this, n] { m_instances[n].frozenUntil = now() + between(500, 15'000); });
        }
    }
    if (chance(15)) {
        // Sleeps past window and retention, and then meets its old claims and a new key.
        m_hasLongSleep = true;
        at(between(0, 30'000), [this] { m_instances[1].frozenUntil = LongSleepEnd; });
        Claims::Call late {{Core::TeamId("t"), "late", {}}, 1};
        late.key.issuedAt =
            std::chrono::time_point_cast<std::chrono::milliseconds>(m_epoch) + LongSleepEnd + 3s;
        callAt(LongSleepEnd + 2s, 0, late, false);
        callAt(LongSleepEnd + between(2000, 4000), 1, late, false);
    }
    if (chance(40)) {
        // The last instance is a data centre of its own.
        auto &alone = m_instances.back();
        const auto from = between(0, 30'000);
        at(from, [&alone] { alone.cut = true; });
        at(from + between(500, 9000), [&alone] { alone.cut = false; });
    }
}

void ClaimHistory::callAt(Time time, std::size_t n, const Claims::Call &request, bool atDoor)
{
    at(time, [this, n, request, atDoor] {
        auto &it = m_instances[n];
        if (!it.engine)
            return;
        const CallId id = m_calls.size() + 1;
        auto call = request;
        if (m_mutation == Mutation::IgnoreDigest)
            call.digest = 1;
        m_calls[id] = {n, it.life, request};
        m_calls[id].probe = m_quiet;
        deliver(n, 0ms, [this, n, id, call, atDoor] {
            auto &engine = *m_instances[n].engine;
            if (!atDoor)
                return perform(n, engine.begin(id, call));
            if (chance(30))
                return perform(n, engine.beginClose(id, call, Core::ErrorKind::PoisonRequest));
            const auto error = engine.earlyRejection(Core::ErrorKind::Overloaded, call.key);
            const bool promise = m_mutation == Mutation::DoorPromises;
            note(id, {nullptr, false, error.kind(), error.attempt(),
                      promise ? Core::ExecutionStatus::NotRun : *error.key()});
        });
    });
}

void ClaimHistory::perform(std::size_t n, ClaimActions actions)
{
    for (auto &action : actions) {
        if (crashesHere(n))
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
    deliver(n, wait, [this, n] { perform(n, m_instances[n].engine->onTimer()); });
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
        deliver(n, delay, [this, n, id, succeeded] {
            perform(n, m_instances[n].engine->onAppendResult(id, succeeded));
        });
    };
    if (logIsOut(n))
        return reply(false, between(50, 500));
    const auto kind = isCalm() ? 100 : m_rng() % 100;
    if (kind < 5)
        return reply(false, between(50, 500));
    if (kind < 15) {
        // Takes effect late, at times long after the instance gave up.
        at(between(1, 8000), takeEffect);
        return reply(false, between(50, 500));
    }
    at(between(1, 20), takeEffect);
    reply(kind >= 25, between(21, 60));
}

void ClaimHistory::read(std::size_t n, std::size_t partition)
{
    auto &it = m_instances[n];
    if (!it.engine || it.reading[partition])
        return;
    it.reading[partition] = true;
    deliver(n, between(1, 20), [this, n, partition] {
        auto &reader = m_instances[n];
        reader.reading[partition] = false;
        if (logIsOut(n)) {
            reader.reading[partition] = true;
            deliver(n, 200ms, [this, n, partition] {
                m_instances[n].reading[partition] = false;
                read(n, partition);
            });
            return;
        }
        const auto stream = ClaimEngine::streamName("", partition, PartitionCount);
        auto page = m_log.read(stream, reader.engine->partition(partition).next(), 50);
        mutatePage(n, page);
        perform(n, reader.engine->onPage(partition, page));
    });
}

void ClaimHistory::ask(std::size_t n, const AskAction &action)
{
    const auto id = action.call;
    const auto reply = [this, n, id](Time delay, const HolderReply &it) {
        deliver(n, delay,
                [this, n, id, it] { perform(n, m_instances[n].engine->onHolderReply(id, it)); });
    };
    const auto holder = static_cast<std::size_t>(action.query.holder.instance.value().back() - '0');
    const auto &peer = m_instances[holder];
    const bool reachable = peer.engine && peer.frozenUntil <= now() && !peer.cut
                           && !m_instances[n].cut && (isCalm() || !chance(10));
    if (reachable)
        reply(between(2, 10), peer.engine->replyTo(action.query));
    else
        reply(between(50, 300), {HolderState::Unreachable, nullptr});
}

void ClaimHistory::send(std::size_t n, CallId id)
{
    ++m_wins[m_calls.at(id).key()];
    deliver(n, chance(70) ? 0ms : between(1, 100), [this, n, id] {
        if (crashesHere(n))
            return;
        serve(n, id);
    });
}

void ClaimHistory::serve(std::size_t n, CallId id)
{
    const auto result = [this, n, id](Time delay, const SendResult &it) {
        deliver(n, delay,
                [this, n, id, it] { perform(n, m_instances[n].engine->onSendResult(id, it)); });
    };
    auto &call = m_calls.at(id);
    const auto request = call.request;
    const auto kind = isCalm() ? 100 : m_rng() % 100;
    if (kind < 15)
        return result(between(1, 20),
                      {SendState::NotSent, nullptr, Core::ErrorKind::UpstreamUnreachable});
    call.sent = true;
    ++m_sends[request.key.text];
    const auto runs = [this, id, request] {
        m_calls.at(id).ran = true;
        ++m_runs[request.key.text];
    };
    const auto body = std::make_shared<StoredAnswer>(StoredAnswer {200, "text", bodyOf(request)});
    if (kind >= 40) {
        at(between(1, 30), runs);
        return result(between(31, 800), {SendState::Answered, body});
    }
    // The upstream crashes, runs with its answer lost, or runs and answers after the timeout.
    if (kind < 32)
        at(between(1, 4000), runs);
    result(between(100, 1500), {SendState::OutcomeLost, nullptr});
    if (kind < 24) {
        deliver(n, between(4001, 6000), [this, n, request, body] {
            perform(n, m_instances[n].engine->onLateAnswer(request.key, body));
        });
    }
    if (m_mutation == Mutation::ResendAfterLoss)
        deliver(n, between(1600, 2000), [this, n, id] { serve(n, id); });
}

void ClaimHistory::answer(std::size_t n, const AnswerAction &action)
{
    auto outcome = action.outcome;
    const bool gaveUp = outcome.error == Core::ErrorKind::LogUnavailable;
    if (m_mutation == Mutation::SendWithoutVerdict && gaveUp)
        serve(n, action.call);
    m_calls.at(action.call).lateClaim = m_mutation == Mutation::SendLateClaim && gaveUp;
    if (m_mutation == Mutation::ExpiryPromises && outcome.error == Core::ErrorKind::KeyExpired)
        outcome.key = Core::ExecutionStatus::NotRun;
    note(action.call, outcome);
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
        const bool own = it.attempt.origin == origin;
        if (m_mutation == Mutation::BlindReaders && !own)
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
        if (own && it.kind == RecordKind::Claim) {
            for (auto &[id, call] : m_calls) {
                if (call.lateClaim && call.request.key == it.key)
                    serve(n, id);
                call.lateClaim = call.lateClaim && !(call.request.key == it.key);
            }
        }
        kept.push_back(it);
    }
    entry.data = encodeBatch(kept);
}
