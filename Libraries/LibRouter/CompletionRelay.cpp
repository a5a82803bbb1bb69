#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibRouter/CompletionRelay.h>
#include <LibRouter/InFlightGuard.h>
#include <LibRouter/ThreadRandom.h>

namespace Router {

namespace asio = boost::asio;

namespace {

/// Returns whether the same call may succeed at another engine.
bool mayRetryOnOtherUpstream(Core::ErrorKind kind)
{
    switch (kind) {
    case Core::ErrorKind::UpstreamUnreachable:
    case Core::ErrorKind::UpstreamFailed:
    case Core::ErrorKind::UpstreamTimedOut:
    case Core::ErrorKind::UpstreamAnswerMalformed:
    case Core::ErrorKind::Overloaded:
        return true;
    default:
        return false;
    }
}

std::uint64_t tokenLimit(const CompletionCall &call, const Configuration::Model &model)
{
    return call.maxTokens() == 0 ? model.maxTokens
                                 : std::min<std::uint64_t>(call.maxTokens(), model.maxTokens);
}

} // namespace

CompletionRelay::CompletionRelay(Instance &instance, Http::ServerExchange &exchange,
                                 CallContext context, CompletionCall call,
                                 const Configuration::Model &model)
    : m_instance(instance)
    , m_exchange(exchange)
    , m_context(std::move(context))
    , m_call(std::move(call))
    , m_model(model)
    , m_blocks(Placement::PromptBlocks::create({m_context.team->id, model.id, model.weightsVersion},
                                               m_call.promptText()))
    , m_sink(AnswerSink::create(exchange, m_call, "cmpl-" + m_context.requestId))
{ }

asio::awaitable<void> CompletionRelay::run()
{
    const auto suspicion = m_instance.suspects().check(m_call.digest());
    if (suspicion == Admission::SuspectVerdict::Poison)
        throw Core::Error(Core::ErrorKind::PoisonRequest);
    m_isSuspect = suspicion == Admission::SuspectVerdict::Suspect;
    auto slot = co_await admit();
    m_grant = slot.grant();
    const auto outcome = co_await tryEngines();
    slot.setTokens(usedTokens());
    if (outcome == AttemptOutcome::Complete) {
        co_await m_sink->finish();
        record("complete");
        co_return;
    }
    const auto error = finalError();
    m_instance.metrics().refusals.add(1, m_context.labels(),
                                      std::string(Core::errorKindRow(error.kind()).name));
    record("failed");
    co_await m_sink->fail(error);
}

asio::awaitable<AdmissionSlot> CompletionRelay::admit()
{
    Admission::Ticket ticket;
    ticket.group = m_model.upstreamGroup;
    ticket.team = m_context.team->id;
    ticket.priorityClass = m_context.priorityClass->id;
    ticket.expectedTokens = m_blocks.promptTokens() + tokenLimit(m_call, m_model);
    ticket.deadline = m_context.arrivedAt + m_context.priorityClass->queueTimeout;
    auto slot = co_await awaitAdmission(m_instance, std::move(ticket), m_exchange);
    m_instance.metrics().queueWait.observe(slot.grant().waited, m_context.labels());
    co_return slot;
}

asio::awaitable<CompletionRelay::AttemptOutcome> CompletionRelay::tryEngines()
{
    for (unsigned n = 0; n < m_instance.settings().attempts; ++n) {
        if (n > 0 && !mayRetry())
            co_return AttemptOutcome::GiveUp;
        const auto group = m_instance.directory().group(m_model.upstreamGroup);
        const auto decision = choose(group);
        if (!decision)
            co_return AttemptOutcome::GiveUp;
        const auto upstream = group.bySlot(decision->slot);
        const auto outcome = co_await attempt(upstream, *decision);
        if (outcome != AttemptOutcome::TryNext)
            co_return outcome;
        m_tried.push_back(upstream->slot());
    }
    co_return AttemptOutcome::GiveUp;
}

Accounting::TokenCounts CompletionRelay::usedTokens() const
{
    Accounting::TokenCounts tokens;
    const auto prompt = m_progress.promptTokens.value_or(0);
    tokens.cached = std::min(prompt, m_progress.cachedTokens.value_or(0));
    tokens.computed = prompt - tokens.cached;
    tokens.generated = m_progress.tokens;
    return tokens;
}

bool CompletionRelay::mayRetry()
{
    if (m_instance.clock().now() - m_context.arrivedAt > m_model.answerTimeout)
        return false;
    const auto suspicion = m_instance.suspects().check(m_call.digest());
    m_isSuspect = suspicion != Admission::SuspectVerdict::Clear;
    if (suspicion == Admission::SuspectVerdict::Poison) {
        m_lastError =
            Core::Error(Core::ErrorKind::PoisonRequest, {}, Core::ExecutionStatus::Unknown, {});
        return false;
    }
    auto &budget = m_instance.retryBudget(m_model.upstreamGroup);
    if (!budget.tryRetry(m_instance.clock().now()))
        return false;
    m_instance.metrics().retries.add(1, m_context.labels());
    return true;
}

bool CompletionRelay::isSkipped(const Upstream &upstream, UpstreamFilter filter) const
{
    if (upstream.isLeaving())
        return true;
    if (filter == UpstreamFilter::AnyLive)
        return false;
    const bool isIsolated = !m_isSuspect || upstream.suspectRequests() == 0;
    return upstream.isSuspected() || (filter == UpstreamFilter::Isolated && !isIsolated);
}

std::optional<Placement::Decision> CompletionRelay::choose(const UpstreamGroupView &group)
{
    if (!group.candidates)
        return std::nullopt;
    // A crash makes every request that ran on the upstream suspect, although most of them did not
    // cause it. Suspect requests are kept on separate upstreams where there are enough upstreams,
    // but none is refused for lack of one.
    for (const auto filter :
         {UpstreamFilter::Isolated, UpstreamFilter::Healthy, UpstreamFilter::AnyLive}) {
        auto excluded = m_tried;
        for (const auto &upstream : group.upstreams) {
            if (isSkipped(*upstream, filter))
                excluded.push_back(upstream->slot());
        }
        const Placement::PlacementRequest request {m_blocks, {}, excluded};
        if (auto decision =
                m_instance.placement().choose(request, *group.candidates, threadRandom()))
            return decision;
    }
    return std::nullopt;
}

asio::awaitable<CompletionRelay::AttemptOutcome>
CompletionRelay::attempt(UpstreamPtr upstream, Placement::Decision decision)
{
    const InFlightGuard guard(*upstream, m_isSuspect);
    auto &placement = m_instance.placement();
    placement.noteSent(decision, m_blocks);
    const auto attemptId = m_context.requestId + '.' + std::to_string(m_tried.size());
    const auto resumedFrom = m_progress.tokens;
    bool hasToken = false;
    CompletionAttempt completion(m_instance, m_context, m_call, m_model,
                                 attemptOptions(decision, hasToken));
    std::optional<Core::Error> failure;
    bool draining = false;
    try {
        co_await completion.run(upstream, attemptId, *m_sink, m_progress);
    } catch (const Core::Error &error) {
        failure = error;
    } catch (const UpstreamDraining &) {
        draining = true;
    } catch (...) {
        // The caller has disconnected. Closing the connection cancels the work at the upstream.
        if (!hasToken)
            placement.noteFailed(decision);
        Core::logEvent(Core::EventId::CallerWentAway, {{"request", m_context.requestId}});
        record("caller_gone");
        throw;
    }
    if (resumedFrom > 0 && m_progress.tokens > resumedFrom) {
        m_instance.metrics().resumed.add(1, m_context.labels());
        Core::logEvent(Core::EventId::StreamResumed,
                       {{"request", m_context.requestId}, {"upstream", upstream->id().value()}});
    }
    if (!failure && !draining) {
        noteSuccess(*upstream, decision);
        co_return AttemptOutcome::Complete;
    }
    if (!hasToken)
        placement.noteFailed(decision);
    if (draining) {
        if (upstream->noteLeaving())
            Core::logEvent(Core::EventId::UpstreamLeaving, {{"upstream", upstream->id().value()}});
        co_return AttemptOutcome::TryNext;
    }
    if (failure->kind() == Core::ErrorKind::UpstreamFailed)
        noteCrash(*upstream, decision.incarnation);
    co_return noteFailure(*upstream, *failure);
}

CompletionAttempt::Options CompletionRelay::attemptOptions(const Placement::Decision &decision,
                                                           bool &hasToken)
{
    CompletionAttempt::Options options;
    options.maxTokens = tokenLimit(m_call, m_model);
    options.priority = m_grant.enginePriority;
    options.firstToken = [this, decision, &hasToken] {
        hasToken = true;
        m_instance.placement().noteFirstToken(decision, m_blocks, std::nullopt);
        if (m_tried.empty())
            m_instance.admission().noteFirstToken(m_grant.id);
    };
    return options;
}

void CompletionRelay::noteCrash(const Upstream &upstream, std::uint64_t incarnation)
{
    // Every request that a crash interrupts records the same crash under its own digest.
    const auto crash = Core::hash64(upstream.id().value(), incarnation);
    m_instance.noteCrash(crash, m_call.digest());
    Core::logEvent(Core::EventId::PoisonSuspected,
                   {{"request", m_context.requestId}, {"upstream", upstream.id().value()}});
}

CompletionRelay::AttemptOutcome CompletionRelay::noteFailure(Upstream &upstream,
                                                             const Core::Error &error)
{
    m_lastError = m_lastError ? Core::afterOtherAttempts(error, m_lastError->attempt()) : error;
    Core::logEvent(Core::EventId::RequestFailed, {{"request", m_context.requestId},
                                                  {"upstream", upstream.id().value()},
                                                  {"error", error.what()}});
    if (!mayRetryOnOtherUpstream(error.kind()))
        return AttemptOutcome::GiveUp;
    if (error.kind() != Core::ErrorKind::Overloaded)
        upstream.circuit().noteFailure(m_instance.clock().now(), threadRandom());
    return AttemptOutcome::TryNext;
}

void CompletionRelay::noteSuccess(Upstream &upstream, const Placement::Decision &decision)
{
    upstream.circuit().noteSuccess();
    m_instance.suspects().noteAnswered(m_call.digest());
    m_instance.retryBudget(m_model.upstreamGroup).noteSuccess();
    auto &placement = m_instance.placement();
    if (m_progress.cachedTokens)
        placement.noteCachedTokens(decision, m_blocks, *m_progress.cachedTokens);
    placement.noteAnswer(decision);
    const auto labels = m_context.labels();
    auto &metrics = m_instance.metrics();
    const auto prompt = m_progress.promptTokens.value_or(0);
    const auto cached = m_progress.cachedTokens.value_or(0);
    metrics.promptTokens.add(prompt, labels);
    metrics.cachedTokens.add(cached, labels);
    metrics.completionTokens.add(m_progress.tokens, labels);
    if (prompt > 0)
        metrics.prefixHit.observe(static_cast<double>(cached) / static_cast<double>(prompt),
                                  labels);
}

void CompletionRelay::record(std::string_view outcome)
{
    const auto labels = m_context.labels();
    auto &metrics = m_instance.metrics();
    metrics.requests.add(1, labels, std::string(outcome));
    if (m_progress.firstTokenAt)
        metrics.firstToken.observe(*m_progress.firstTokenAt - m_context.arrivedAt, labels);
    metrics.answerTime.observe(m_instance.clock().now() - m_context.arrivedAt, labels);
}

Core::Error CompletionRelay::finalError() const
{
    if (m_progress.tokens > 0)
        return Core::Error(Core::ErrorKind::StreamInterrupted,
                           m_lastError ? m_lastError->what()
                                       : "no upstream is left to resume the stream");
    return m_lastError.value_or(Core::Error(Core::ErrorKind::NoUpstream));
}

} // namespace Router
