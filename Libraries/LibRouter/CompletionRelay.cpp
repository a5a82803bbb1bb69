#include <LibCore/EventLog.h>
#include <LibRouter/CompletionRelay.h>

#include <random>

namespace Router {

namespace asio = boost::asio;

namespace {

std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 rng(std::random_device {}());
    return rng;
}

/// Counts a request as in flight at its upstream for as long as it lives.
class InFlightGuard
{
public:
    explicit InFlightGuard(Upstream &upstream)
        : m_upstream(upstream)
    {
        m_upstream.addInFlight();
    }
    ~InFlightGuard() { m_upstream.removeInFlight(); }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    Upstream &m_upstream;
};

/// Whether another engine may do better with the same call.
bool mayTryElsewhere(Core::ErrorKind kind)
{
    switch (kind) {
    case Core::ErrorKind::UpstreamUnreachable:
    case Core::ErrorKind::UpstreamFailed:
    case Core::ErrorKind::UpstreamTimedOut:
    case Core::ErrorKind::UpstreamGarbage:
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
    , m_pieces(Placement::PromptPieces::create({m_context.team->id, model.id, model.weightsVersion},
                                               m_call.promptText()))
    , m_sink(AnswerSink::create(exchange, m_call, "cmpl-" + m_context.requestId))
{ }

asio::awaitable<void> CompletionRelay::run()
{
    for (unsigned n = 0; n < m_instance.settings().attempts; ++n) {
        const auto group = m_instance.directory().group(m_model.upstreamGroup);
        const auto decision = choose(group);
        if (!decision)
            break;
        const auto upstream = group.bySlot(decision->slot);
        if (n > 0)
            m_instance.metrics().retries.add(1, m_context.labels());
        const auto verdict = co_await attempt(upstream, *decision);
        if (verdict == Verdict::Complete) {
            co_await m_sink->finish();
            record("complete");
            co_return;
        }
        if (verdict == Verdict::GiveUp)
            break;
        m_tried.push_back(upstream->slot());
    }
    const auto error = finalError();
    m_instance.metrics().refusals.add(1, m_context.labels(),
                                      std::string(Core::errorKindRow(error.kind()).name));
    record("failed");
    co_await m_sink->fail(error);
}

std::optional<Placement::Decision> CompletionRelay::choose(const UpstreamGroupView &group)
{
    if (!group.candidates)
        return std::nullopt;
    const auto now = m_instance.clock().now();
    auto excluded = m_tried;
    for (const auto &upstream : group.upstreams) {
        if (upstream->isLeaving() || upstream->isSuspected(now))
            excluded.push_back(upstream->slot());
    }
    const Placement::PlacementRequest request {m_pieces, {}, excluded};
    auto &placement = m_instance.placement();
    if (auto decision = placement.choose(request, *group.candidates, threadRandom()))
        return decision;
    // With nobody above suspicion, a suspected upstream is better than none.
    excluded = m_tried;
    for (const auto &upstream : group.upstreams) {
        if (upstream->isLeaving())
            excluded.push_back(upstream->slot());
    }
    const Placement::PlacementRequest anyLive {m_pieces, {}, excluded};
    return placement.choose(anyLive, *group.candidates, threadRandom());
}

asio::awaitable<CompletionRelay::Verdict> CompletionRelay::attempt(UpstreamPtr upstream,
                                                                   Placement::Decision decision)
{
    const InFlightGuard guard(*upstream);
    auto &placement = m_instance.placement();
    placement.noteSent(decision, m_pieces);
    const auto attemptId = m_context.requestId + '.' + std::to_string(m_tried.size());
    const auto resumedFrom = m_progress.tokens;
    CompletionAttempt sending(m_instance, m_context, m_call, m_model, tokenLimit(m_call, m_model));
    std::optional<Core::Error> failure;
    bool draining = false;
    try {
        co_await sending.run(upstream, attemptId, *m_sink, m_progress);
    } catch (const Core::Error &error) {
        failure = error;
    } catch (const UpstreamDraining &) {
        draining = true;
    } catch (...) {
        // The caller is gone. Dropping the connection cancels the work upstream.
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
        co_return Verdict::Complete;
    }
    placement.noteFailed(decision);
    if (draining) {
        if (upstream->noteLeaving())
            Core::logEvent(Core::EventId::UpstreamLeaving, {{"upstream", upstream->id().value()}});
        co_return Verdict::TryNext;
    }
    co_return noteFailure(*upstream, *failure);
}

CompletionRelay::Verdict CompletionRelay::noteFailure(Upstream &upstream, const Core::Error &error)
{
    m_lastError = error;
    Core::logEvent(Core::EventId::RequestFailed, {{"request", m_context.requestId},
                                                  {"upstream", upstream.id().value()},
                                                  {"error", error.what()}});
    if (!mayTryElsewhere(error.kind()))
        return Verdict::GiveUp;
    if (error.kind() != Core::ErrorKind::Overloaded)
        upstream.noteFailure(m_instance.clock().now());
    return Verdict::TryNext;
}

void CompletionRelay::noteSuccess(Upstream &upstream, const Placement::Decision &decision)
{
    upstream.noteSuccess();
    auto &placement = m_instance.placement();
    placement.noteFirstToken(decision, m_pieces, m_progress.cachedTokens);
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
                           m_lastError ? m_lastError->what() : "no upstream is left");
    return m_lastError.value_or(Core::Error(Core::ErrorKind::NoUpstream));
}

} // namespace Router
