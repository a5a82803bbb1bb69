#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/MemoryAdmission.h>
#include <LibGateway/RequestQueue.h>
#include <LibGateway/RequestRelay.h>
#include <LibGateway/RoomSearch.h>
#include <LibGateway/TeamAdmission.h>
#include <LibGateway/Urgency.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto ConnectTimeout = 500ms;
// If sent data is not acknowledged for this long, the upstream is considered unreachable.
constexpr auto UnacknowledgedTimeout = 1'500ms;
// A request that so many upstreams failed under is not sent to another one, whatever its route
// allows; it may be what makes them fail.
constexpr unsigned MaxUpstreamFailures = 3;
// The maximum number of attempts for a request that no upstream has executed.
constexpr unsigned MaxSends = 6;
// How often a prompt that waits at its engine looks for weights that were named meanwhile.
constexpr auto BeginCheckInterval = 500ms;
// Several answers have to fit into the memory of a small instance.
constexpr std::size_t AnswerLimitBytes = 16 * 1024 * 1024;
constexpr std::size_t EventLimitBytes = 1024 * 1024;
// The body of an answer that is discarded is read up to this size and time, so that the connection
// can be reused.
constexpr std::size_t DiscardLimitBytes = 64 * 1024;
constexpr auto DiscardTimeout = 100ms;
// Callers honour a Retry-After of at most a third of their remaining time.
constexpr int RetryAfterShare = 3;
constexpr auto ShortRetryAfter = 300ms;
constexpr auto MinRetryAfter = 100ms;
// The list entry of an upstream expires after this many missed reports.
constexpr int MaxMissedReports = 3;
constexpr auto BusyPause = 120ms;
// A queue that is longer than known by fewer tokens does not change the choice.
constexpr std::uint64_t MaxUnknownTokens = 500;
constexpr unsigned MaxQueueQueries = 3;
// If the expected time to the first token is shorter, the measured time says little about the speed
// of the engine.
constexpr EngineModel::Milliseconds MinSlownessSampleTime {20};

std::string formatSeconds(milliseconds time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

/// Returns whether callers take the status as a promise that the request has not run and never
/// will.
bool promisesNotRun(unsigned status)
{
    constexpr std::array Promises {408U, 421U, 429U, 503U};
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

Refusal stopRefusal()
{
    return {Core::ErrorKind::Draining, "the instance is shutting down", MinRetryAfter};
}

/// Returns whether the events of an answer may go on in a stream that began with the given status
/// and headers.
bool mayContinueStream(const Http::ClientExchange &answer, unsigned status,
                       const Http::Headers &headers)
{
    const auto type = answer.headers().find("Content-Type");
    const bool isStream = type && type->starts_with("text/event-stream");
    return answer.status() == status && (isStream || type == headers.find("Content-Type"))
           && answer.headers().find("Content-Encoding") == headers.find("Content-Encoding");
}

} // namespace

RequestRelay::RequestRelay(Gateway &gateway, Http::ServerExchange &exchange)
    : m_gateway(gateway)
    , m_exchange(exchange)
    , m_output(gateway, exchange)
    , m_activeRequests(gateway.activeRequests())
{
    m_request.arrival = gateway.dependencies().clock.now();
    m_activeRequests->insert(this);
}

RequestRelay::~RequestRelay()
{
    m_activeRequests->erase(this);
    returnUnusedQuota();
    *m_isAlive = false;
}

asio::awaitable<void> RequestRelay::run()
{
    auto refusal = m_request.decode(m_gateway.dependencies().dialect, m_exchange.request());
    if (!refusal)
        refusal = m_request.authorize(m_gateway, m_exchange.request());
    const auto &stop = m_gateway.plannedStop();
    if (!refusal && stop.refuses(m_request.arrival, remainingTime()))
        refusal = stopRefusal();
    if (refusal) {
        co_await refuse(*refusal);
        co_return;
    }
    m_timer = std::make_unique<asio::steady_timer>(co_await asio::this_coro::executor);
    startTimers();
    refusal = co_await spendQuota();
    if (refusal) {
        co_await refuse(*refusal);
        co_return;
    }
    std::exception_ptr failure;
    try {
        co_await runAttempts();
    } catch (...) {
        failure = std::current_exception();
    }
    co_await m_output.stop();
    if (failure)
        std::rethrow_exception(failure);
}

asio::awaitable<std::optional<Refusal>> RequestRelay::spendQuota()
{
    const auto units = m_request.quotaUnits();
    auto *quotas = m_gateway.quotas();
    if (units <= 0 || !quotas)
        co_return std::nullopt;
    const auto team = m_request.tenantName();
    const auto retryAfter = co_await quotas->take(team, units);
    if (!retryAfter) {
        m_quotaTeam = team;
        m_quotaUnits = units;
        co_return std::nullopt;
    }
    co_return Refusal {Core::ErrorKind::TeamLimitReached,
                       "the usage cap of team " + team + " does not allow "
                           + text(static_cast<std::uint64_t>(units)) + " more now",
                       *retryAfter};
}

void RequestRelay::returnUnusedQuota()
{
    if (m_quotaUnits > 0 && !m_mayHaveExecuted && m_gateway.quotas())
        m_gateway.quotas()->giveBack(m_quotaTeam, std::exchange(m_quotaUnits, 0));
}

std::optional<Refusal> RequestRelay::reauthorize()
{
    const auto before = m_request;
    auto denied = m_request.authorize(m_gateway, m_exchange.request());
    // The outcome of the request is still reported under the route that it was sent on.
    if (denied)
        m_request = before;
    return denied;
}

void RequestRelay::startTimers()
{
    const auto guard = std::weak_ptr(m_isAlive);
    m_exchange.setCallerGoneHook([this, guard] {
        if (const auto alive = guard.lock(); alive && *alive)
            cancel(CancelReason::CallerDisconnected);
    });
    // remainingTime() is rounded down, so a timer of that length would end the request early.
    m_timer->expires_after(m_request.deadline - m_gateway.dependencies().clock.now());
    m_timer->async_wait([this, guard](const auto &ec) {
        const auto alive = guard.lock();
        if (!ec && alive && *alive)
            cancel(CancelReason::DeadlineExpired);
    });
}

void RequestRelay::cancel(CancelReason reason)
{
    if (m_cancelReason != CancelReason::None)
        return;
    m_cancelReason = reason;
    m_output.limitTime(reason == CancelReason::CallerDisconnected ? 0ms : CallerOutput::SettleTime);
    if (reason == CancelReason::DeadlineExpired)
        m_output.cutUnfinished();
    if (m_abort)
        m_abort->abort();
    if (m_wait)
        m_wait->wake();
    if (m_sendTimer)
        m_sendTimer->cancel();
}

void RequestRelay::end()
{
    cancel(CancelReason::InstanceStops);
}

std::optional<Refusal> RequestRelay::refuseForStop() const
{
    const auto now = m_gateway.dependencies().clock.now();
    if (m_mayHaveExecuted || !m_gateway.plannedStop().mayCut(now, remainingTime()))
        return std::nullopt;
    return stopRefusal();
}

asio::awaitable<void> RequestRelay::runAttempts()
{
    bool isFirst = true;
    for (;;) {
        if (const auto refusal = refuseForStop()) {
            co_await refuse(*refusal);
            co_return;
        }
        auto plan = co_await planOrWait();
        if (m_cancelReason != CancelReason::None) {
            m_place.reset();
            co_await finish(AttemptOutcome::Cancelled);
            co_return;
        }
        const auto *refusal = std::get_if<Refusal>(&plan);
        if (refusal && (m_mayHaveExecuted || m_errorResponse || m_exchange.hasStarted())) {
            co_await finish(AttemptOutcome::Interrupted);
            co_return;
        }
        if (refusal) {
            co_await refuse(*refusal);
            co_return;
        }
        m_plan = std::move(std::get<RequestPlan>(plan));
        if (isFirst)
            m_gateway.retries(m_plan->service).noteRequest(m_gateway.dependencies().clock.now());
        isFirst = false;
        const auto end = co_await runAttempt();
        m_gateway.queue().noteCapacity();
        if (end == AttemptOutcome::Answered || !mayRetry(end)) {
            co_await finish(end);
            co_return;
        }
        if (end != AttemptOutcome::NotSent) {
            m_isRetry = true;
            m_budgetedService.clear();
        }
        // A queued or repeated request is authorized again with the configuration that is in force
        // when it is sent.
        const auto denied = reauthorize();
        if (denied && !m_mayHaveExecuted) {
            co_await refuse(*denied);
            co_return;
        }
        if (denied || !mayExecute()) {
            co_await finish(end);
            co_return;
        }
    }
}

bool RequestRelay::isWithinBudget(const RequestPlan &plan)
{
    if (!m_isRetry || plan.service == m_budgetedService)
        return true;
    const bool isAllowed = m_gateway.tryRepeat(plan.service);
    logRetry(m_gateway, m_request, plan, isAllowed);
    if (isAllowed)
        m_budgetedService = plan.service;
    return isAllowed;
}

bool RequestRelay::mayExecute() const
{
    return m_executions == 0
           || (m_request.route->mayRunAgain() && m_executions < m_request.route->maxAttempts);
}

asio::awaitable<std::variant<RequestPlan, Refusal>> RequestRelay::plan()
{
    auto *queues = m_gateway.engineQueues();
    std::shared_ptr<Upstream> entered;
    RoomSearch search(m_gateway, m_request);
    LimitSearch limits(m_gateway, m_request, m_excluded);
    for (unsigned queries = 0;;) {
        auto withoutRoom = search.full();
        withoutRoom.insert(limits.full().begin(), limits.full().end());
        auto planned = planRequest(m_gateway, m_request, m_excluded, withoutRoom);
        auto *plan = std::get_if<RequestPlan>(&planned);
        if (!plan && search.hasAsked())
            co_return search.refuse();
        if (plan && plan->upstream == entered)
            co_return planned;
        m_place.reset();
        if (!plan)
            co_return limits.refuse(std::get<Refusal>(planned));
        if (!isWithinBudget(*plan))
            co_return Refusal {Core::ErrorKind::NoUpstream,
                               "the retry budget of service " + plan->service + " is used up",
                               ShortRetryAfter};
        if (needsPermit(m_gateway, *plan->upstream, m_permit)) {
            const bool isPermitted = co_await awaitPermit(limits, *plan);
            if (m_cancelReason != CancelReason::None)
                co_return planned;
            if (!isPermitted)
                continue;
            if (m_gateway.dependencies().configuration.current() != m_request.configuration) {
                if (const auto denied = reauthorize())
                    co_return *denied;
                continue;
            }
        }
        if (queues && search.appliesTo(*plan)) {
            const auto demand = search.demand(*plan);
            m_place = co_await queues->enter(plan->upstream, demand);
            if (m_cancelReason != CancelReason::None || search.hasRoom(*plan, m_place.get()))
                co_return planned;
            m_place.reset();
            if (search.hasEnded())
                co_return search.refuse();
            continue;
        }
        if (!plan->engine || !queues)
            co_return planned;
        entered = plan->upstream;
        const auto known = entered->tokensAhead(false);
        m_place = co_await queues->enter(
            entered, {plan->uncachedTokens(m_request), m_request.memoryTokens(),
                      isUrgent(*m_request.route, m_request.tenant), remainingTime(),
                      m_gateway.dependencies().settings.limitsEngineMemory});
        const bool isAsKnown = entered->tokensAhead(false) <= known + MaxUnknownTokens;
        const auto full = m_place ? refuseIfFull(m_gateway, m_request, *plan) : std::nullopt;
        const bool isLast = (!isAsKnown || full) && ++queries > MaxQueueQueries;
        if (full && isLast) {
            m_place.reset();
            co_return *full;
        }
        if (!m_place || (isAsKnown && !full) || isLast || m_cancelReason != CancelReason::None)
            co_return planned;
    }
}

asio::awaitable<bool> RequestRelay::awaitPermit(LimitSearch &search, const RequestPlan &plan)
{
    m_permit = co_await search.reserve(plan);
    if (!m_permit)
        co_return false;
    const auto wait = m_permit->sendAt - m_gateway.dependencies().clock.now();
    if (wait > 0ms && m_cancelReason == CancelReason::None) {
        m_sendTimer =
            std::make_unique<asio::steady_timer>(co_await asio::this_coro::executor, wait);
        boost::system::error_code ec;
        co_await m_sendTimer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
        m_sendTimer.reset();
    }
    co_return true;
}

bool RequestRelay::mayWait() const
{
    return m_gateway.dependencies().settings.queuesRequests && m_progress.sends == 0
           && !m_gateway.plannedStop().hasBegun();
}

asio::awaitable<std::variant<RequestPlan, Refusal>> RequestRelay::planOrWait()
{
    if (!mayWait())
        co_return co_await plan();
    auto planned = co_await plan();
    const auto *refusal = std::get_if<Refusal>(&planned);
    if (!refusal || !refusal->shortage || m_cancelReason != CancelReason::None)
        co_return planned;
    const auto first = *refusal;
    const auto executor = co_await asio::this_coro::executor;
    m_wait = RequestWait::enter(m_gateway, m_request, m_exchange.request().body.size(),
                                *first.shortage, executor);
    if (!m_wait)
        co_return planned;
    const auto start = m_gateway.dependencies().clock.now();
    planned = co_await waitForCapacity(first);
    m_wait.reset();
    m_waited = m_gateway.dependencies().clock.now() - start;
    m_gateway.metrics().waited.observe(m_waited, m_request.labels());
    co_return planned;
}

asio::awaitable<std::variant<RequestPlan, Refusal>>
RequestRelay::waitForCapacity(const Refusal &first)
{
    auto refusal = first;
    for (;;) {
        const auto call = co_await m_wait->next();
        // The timer may not have been served yet if the process was frozen.
        if (remainingTime() <= 0ms)
            cancel(CancelReason::DeadlineExpired);
        if (m_cancelReason != CancelReason::None || call == RequestWait::Call::Leave)
            co_return refusal;
        if (auto denied = checkWhileWaiting())
            co_return *denied;
        if (call == RequestWait::Call::Check)
            continue;
        auto planned = co_await plan();
        if (m_cancelReason != CancelReason::None || std::holds_alternative<RequestPlan>(planned))
            co_return planned;
        refusal = std::get<Refusal>(planned);
        if (!refusal.shortage || !m_wait->stay(*refusal.shortage))
            co_return refusal;
    }
}

std::optional<Refusal> RequestRelay::checkWhileWaiting()
{
    if (m_gateway.plannedStop().hasBegun())
        return stopRefusal();
    if (m_gateway.dependencies().configuration.current() == m_request.configuration)
        return std::nullopt;
    return reauthorize();
}

bool RequestRelay::mayStillSend()
{
    // The timer may not have been served yet if the process was frozen.
    if (remainingTime() <= 0ms)
        cancel(CancelReason::DeadlineExpired);
    if (m_cancelReason != CancelReason::None || refuseForStop())
        return false;
    const auto &dependencies = m_gateway.dependencies();
    if (m_plan->upstream->isRemoved() || m_plan->upstream->isLeaving()
        || m_plan->upstream->pausedUntil() > dependencies.clock.now() || isTooLateToBegin()
        || needsPermit(m_gateway, *m_plan->upstream, m_permit))
        return false;
    if (m_request.poisonCause(m_gateway))
        return false;
    const auto &current = dependencies.configuration.current();
    if (current == m_request.configuration)
        return m_request.route->isPublic || !current->requiresKeys || m_gateway.hasUpToDateKeys();
    // The configuration changed after the upstream was chosen, so the choice is repeated.
    return false;
}

bool RequestRelay::isTooLateToBegin() const
{
    const auto limit = latestBegin(m_gateway, *m_plan, m_request.caller.model);
    return limit && *limit <= m_gateway.dependencies().clock.now();
}

void RequestRelay::watchBegin()
{
    const auto now = m_gateway.dependencies().clock.now();
    const auto nextCheck = now + BeginCheckInterval;
    const auto limit = latestBegin(m_gateway, *m_plan, m_request.caller.model).value_or(nextCheck);
    if (limit <= now) {
        withdraw();
        return;
    }
    m_beginTimer->expires_after(std::min(limit, nextCheck) - now);
    m_beginTimer->async_wait([this, guard = std::weak_ptr(m_isAlive)](const auto &ec) {
        const auto alive = guard.lock();
        if (!ec && alive && *alive && m_beginTimer)
            watchBegin();
    });
}

void RequestRelay::withdraw()
{
    noteAttempt("withdrawn", "the engine did not begin before its weights were too old");
    m_isPlanOutdated = true;
    m_abort->abort();
}

bool RequestRelay::mayRetry(AttemptOutcome end)
{
    if (m_cancelReason != CancelReason::None || remainingTime() <= 0ms)
        return false;
    switch (end) {
    case AttemptOutcome::NotSent:
    case AttemptOutcome::NotExecuted:
        return m_progress.sends < MaxSends;
    case AttemptOutcome::Interrupted:
    case AttemptOutcome::Withdrawn:
    case AttemptOutcome::ServerError:
        return mayExecute() && m_failures < MaxUpstreamFailures;
    case AttemptOutcome::StreamInterrupted:
        return mayExecute() && !m_events.lastId().empty();
    case AttemptOutcome::Answered:
    case AttemptOutcome::Cancelled:
        return false;
    }
    return false;
}

asio::awaitable<RequestRelay::AttemptOutcome> RequestRelay::runAttempt()
{
    ++m_progress.sends;
    m_excluded.insert(m_plan->upstream->report().id);
    const auto uncached = m_plan->uncachedTokens(m_request);
    m_evidence.emplace(m_gateway, m_request, m_plan->upstream->report(),
                       m_plan->engine.has_value());
    if (m_plan->engine) {
        const auto total = totalTokens(m_request.parts);
        auto &metrics = m_gateway.metrics();
        metrics.promptTokens.add(total, m_request.labels());
        metrics.cachedTokens.add(total - uncached, m_request.labels());
        metrics.expectedFirstToken.observe(
            duration_cast<std::chrono::nanoseconds>(m_plan->engine->expectedFirstToken),
            m_request.labels());
        const auto *service = m_request.configuration->findService(m_plan->service);
        m_plan->upstream->prefixCache().setCapacity(service->engine->cacheTokens);
        if (auto *store = kvCacheStoreOf(m_gateway, *m_plan))
            store->transfers().add(m_plan->storeTransferTokens(m_request),
                                   m_gateway.dependencies().clock.now());
    }
    UpstreamLoad load(m_plan->upstream, uncached, m_request.memoryTokens(),
                      isUrgent(*m_request.route, m_request.tenant),
                      m_gateway.dependencies().clock.now(), std::move(m_place));
    const auto end = co_await sendToUpstream(load);
    m_beginTimer.reset();
    const auto now = m_gateway.dependencies().clock.now();
    if (m_plan->engine && end == AttemptOutcome::Answered)
        m_gateway.engineMemory(m_plan->service)
            .noteAnswer(m_request.memoryTokens(), now - load.sent());
    // A prompt that did not start in time has waited at least this long.
    if (m_plan->engine && !load.hasFirstToken() && m_cancelReason == CancelReason::DeadlineExpired)
        noteWait(now - load.sent());
    if (end == AttemptOutcome::Answered)
        m_plan->upstream->noteOutcome(true, now);
    else if (end != AttemptOutcome::Cancelled && end != AttemptOutcome::NotExecuted
             && !m_isPlanOutdated)
        m_plan->upstream->noteOutcome(false, now);
    co_return end;
}

Http::Headers RequestRelay::upstreamHeaders() const
{
    Dispatch dispatch;
    dispatch.upstream = m_plan->upstream->report().id;
    dispatch.remainingTime = remainingTime();
    dispatch.tenant = m_request.tenant ? m_request.tenant->name : "";
    dispatch.cacheScope = m_request.cacheScope();
    dispatch.urgency = urgencyLevel(
        *m_request.route, m_request.tenant,
        m_plan->engine && m_plan->engine->expectedFirstToken > m_request.route->target);
    if (m_plan->engine) {
        // Cached parts are looked up by scope, so including the version of the weights prevents the
        // use of parts that other weights computed, wherever they are cached. The upstream refuses
        // the request if its weights differ.
        const auto weights = m_plan->weights;
        dispatch.weights = weights;
        dispatch.cacheScope += ".weights-" + text(weights);
        const auto *store = kvCacheStoreOf(m_gateway, *m_plan);
        if (store && m_plan->engine->isFromStore)
            dispatch.fetchFrom = store->endpoint();
        if (store && m_plan->isSaving)
            dispatch.saveTo = store->endpoint();
        if (m_plan->engine->source && !m_plan->engine->source->isRemoved()
            && m_plan->engine->source->weights(m_request.caller.model) == weights)
            dispatch.fetchFrom = m_plan->engine->source->report().endpoint;
    }
    dispatch.resumeAfter =
        m_events.lastId().empty() ? m_request.caller.resumeAfter : m_events.lastId();
    return m_gateway.dependencies().dialect.upstreamHeaders(m_exchange.request(), dispatch);
}

asio::awaitable<RequestRelay::AttemptOutcome> RequestRelay::sendToUpstream(UpstreamLoad &load)
{
    const auto endpoint = m_plan->upstream->report().endpoint;
    m_abort = std::make_shared<Http::CallAbort>();
    if (m_cancelReason != CancelReason::None)
        m_abort->abort();
    Http::SendOptions options;
    // If a reused connection turns out to be closed, it is unknown whether the request was
    // executed.
    options.mayRepeat = false;
    // The answer cannot name a request without an id, and on a connection of an earlier attempt it
    // may be a surplus one to that.
    if (m_request.caller.attemptId.empty() || m_triedEndpoints.contains(endpoint))
        options.use = Http::ConnectionUse::New;
    options.abort = m_abort;
    options.unacknowledged = UnacknowledgedTimeout;
    m_isPlanOutdated = false;
    m_plan->weights = m_plan->upstream->weights(m_request.caller.model);
    options.maySend = [this] {
        m_isPlanOutdated = !mayStillSend();
        return !m_isPlanOutdated;
    };
    if (m_plan->engine && m_request.route->kind == RequestKind::Stream) {
        m_beginTimer = std::make_unique<asio::steady_timer>(co_await asio::this_coro::executor);
        watchBegin();
    }
    // Making the connection takes some of the time that is left.
    options.onSend = [this, endpoint](Http::Request &request) {
        request.headers = upstreamHeaders();
        m_triedEndpoints.insert(endpoint);
        m_permit.reset();
        noteTeamSent(m_gateway, m_request, *m_plan);
        m_notices = m_plan->upstream->notices();
        const auto &dependencies = m_gateway.dependencies();
        m_progress.listAge = dependencies.fleet.age(dependencies.clock.now());
    };
    // The deadline timer ends the call; these timeouts only guard against a call that it misses.
    Http::ClientTimeouts timeouts;
    timeouts.connect = std::min<milliseconds>(ConnectTimeout, remainingTime());
    timeouts.head = remainingTime() + 1s;
    timeouts.body = remainingTime() + 1s;
    const auto &received = m_exchange.request();
    Http::Request request(received.method, received.target);
    options.body = &received.body;
    std::unique_ptr<Http::ClientExchange> answer;
    std::optional<Core::Error> failure;
    try {
        answer = co_await m_gateway.dependencies().client.open(endpoint, std::move(request),
                                                               timeouts, options);
    } catch (const Core::Error &error) {
        failure = error;
    }
    if (failure && failure->kind() == Core::ErrorKind::UpstreamUnreachable) {
        noteAttempt("not_sent", failure->detail());
        if (!m_mayHaveExecuted)
            noteTeamNotExecuted(m_gateway, m_request, *m_plan);
        if (!m_isPlanOutdated && m_cancelReason == CancelReason::None)
            noteUnreachable();
        co_return m_cancelReason == CancelReason::None ? AttemptOutcome::NotSent
                                                       : AttemptOutcome::Cancelled;
    }
    // The upstream may have received part of the request from this point on.
    const bool mayHaveExecutedBefore = std::exchange(m_mayHaveExecuted, true);
    ++m_executions;
    if (failure)
        co_return noteInterrupted(*failure);
    const auto end = co_await relayAnswer(*answer, load);
    if (end == AttemptOutcome::NotExecuted) {
        m_mayHaveExecuted = mayHaveExecutedBefore;
        --m_executions;
        if (!m_mayHaveExecuted)
            noteTeamNotExecuted(m_gateway, m_request, *m_plan);
    }
    if (end != AttemptOutcome::Answered && end != AttemptOutcome::ServerError
        && end != AttemptOutcome::NotExecuted)
        answer->abort();
    co_return end;
}

RequestRelay::AttemptOutcome RequestRelay::noteInterrupted(const Core::Error &error)
{
    if (m_cancelReason != CancelReason::None)
        return AttemptOutcome::Cancelled;
    if (m_isPlanOutdated)
        return m_exchange.hasStarted() ? AttemptOutcome::StreamInterrupted
                                       : AttemptOutcome::Withdrawn;
    m_hasTimedOut = error.kind() == Core::ErrorKind::UpstreamTimedOut;
    noteAttempt("broken", error.what());
    // Unacknowledged data means that the upstream is unreachable.
    if (m_hasTimedOut)
        noteUnreachable();
    if (error.kind() == Core::ErrorKind::UpstreamFailed) {
        ++m_failures;
        m_evidence->noteCrash();
        m_request.triedCause.reset();
    }
    return m_exchange.hasStarted() ? AttemptOutcome::StreamInterrupted
                                   : AttemptOutcome::Interrupted;
}

asio::awaitable<RequestRelay::AttemptOutcome>
RequestRelay::relayAnswer(Http::ClientExchange &answer, UpstreamLoad &load)
{
    m_plan->upstream->noteReached();
    const auto head = m_gateway.dependencies().dialect.readHead(answer.status(), answer.headers());
    const bool isNamed = !head.attemptId.empty();
    // On a reused connection, an answer that names no request may be a surplus one to an earlier
    // request, and then says nothing about this one.
    if (isNamed ? head.attemptId != m_request.caller.attemptId : !answer.isFirstOnConnection()) {
        Core::logEvent(Core::EventId::UpstreamAnswerInvalid,
                       {{"upstream", m_plan->upstream->report().id.value()},
                        {"request", m_request.caller.attemptId},
                        {"answered", head.attemptId}});
        co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                              "the answer may belong to another request"));
    }
    noteUpstreamState(head);
    std::optional<Core::Error> failure;
    try {
        if (head.isOtherUpstream || head.isNotRun) {
            noteRefusedByUpstream(answer.status(), head);
            // If the upstream does not name requests, the next answer needs a new connection too.
            if (isNamed)
                co_await discardBody(answer);
            else
                answer.abort();
            co_return AttemptOutcome::NotExecuted;
        }
        if (head.weights && *head.weights > m_plan->upstream->weights(m_request.caller.model)) {
            m_plan->upstream->noteWeights(m_request.caller.model, *head.weights);
            if (m_gateway.onWeightsSeen)
                m_gateway.onWeightsSeen(*m_plan->upstream, m_request.caller.model, *head.weights);
        }
        m_evidence->noteBegin();
        auto headers = Http::withoutConnectionFields(answer.headers());
        const bool isSuccess = answer.status() < 300;
        if (!head.isSealed)
            co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                                  "the answer has no seal header"));
        // The upstream did not state that the request was not run.
        if (promisesNotRun(answer.status()) && !m_request.route->mayRunAgain())
            co_return noteInterrupted(
                Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                            "status " + text(answer.status()) + " of a request that may have run"));
        if (isSuccess && m_request.route->kind == RequestKind::Stream)
            co_return co_await relayStream(answer, std::move(headers), load);
        co_return co_await relayWhole(answer, std::move(headers), load);
    } catch (const Core::Error &error) {
        failure = error;
    } catch (const boost::system::system_error &) {
        // The deadline closes the caller's connection, which fails a pending write.
        if (m_cancelReason != CancelReason::DeadlineExpired)
            throw;
    }
    co_return failure ? noteInterrupted(*failure) : AttemptOutcome::Cancelled;
}

void RequestRelay::noteUpstreamState(const AnswerHead &head)
{
    // Another incarnation at the address speaks for itself.
    if (head.isOtherUpstream && head.upstream != m_plan->upstream->report().id)
        return;
    const auto &upstream = *m_plan->upstream;
    if (head.isLeaving && !std::exchange(m_notices->isLeaving, true)
        && m_notices == upstream.notices() && !upstream.report().isDraining)
        Core::logEvent(Core::EventId::UpstreamLeaving,
                       {{"upstream", upstream.report().id.value()}, {"reason", "its answer"}});
    noteLimit(m_gateway, upstream, m_notices, head);
    if (head.retryAfter)
        m_notices->refusingUntil = std::max(
            m_notices->refusingUntil, m_gateway.dependencies().clock.now() + *head.retryAfter);
}

asio::awaitable<void> RequestRelay::discardBody(Http::ClientExchange &answer)
{
    // The connection can be reused only after the whole body has been read.
    answer.setBodyTimeout(DiscardTimeout);
    std::size_t size = 0;
    bool isComplete = false;
    try {
        while (size <= DiscardLimitBytes) {
            const auto chunk = co_await answer.readSome();
            isComplete = !chunk;
            if (isComplete)
                break;
            size += chunk->size();
        }
    } catch (const Core::Error &error) {
        noteAttempt("not_run", error.what());
    }
    if (!isComplete)
        answer.abort();
}

void RequestRelay::noteUnreachable()
{
    m_plan->upstream->noteUnreachable(m_gateway.dependencies().clock.now());
    if (m_gateway.onUnreachable)
        m_gateway.onUnreachable(*m_plan->upstream);
}

void RequestRelay::noteRefusedByUpstream(unsigned status, const AnswerHead &head)
{
    const auto now = m_gateway.dependencies().clock.now();
    noteAttempt(head.isOtherUpstream ? "other_upstream" : "not_run",
                std::to_string(status) + " from " + head.upstream.value() + ", expected weights "
                    + text(m_plan->weights));
    if (head.isOtherUpstream && head.upstream != m_plan->upstream->report().id) {
        // Another incarnation uses the address; the list entry of the previous one has not expired
        // yet.
        m_plan->upstream->pauseUntil(
            now + MaxMissedReports * m_gateway.dependencies().settings.reportInterval);
        if (m_gateway.onPause)
            m_gateway.onPause(*m_plan->upstream,
                              MaxMissedReports * m_gateway.dependencies().settings.reportInterval);
        return;
    }
    if (!m_plan->engine) {
        if (!head.isOtherUpstream)
            noteRejectionOfPlain(m_gateway, *m_plan);
        return;
    }
    // The engine is full, executes an order, or has other weights than expected.
    m_plan->upstream->extendPause(now + BusyPause);
    if (head.isOtherUpstream && m_gateway.onWeightsMismatch)
        m_gateway.onWeightsMismatch(m_plan->upstream);
}

asio::awaitable<RequestRelay::AttemptOutcome>
RequestRelay::relayWhole(Http::ClientExchange &answer, Http::Headers headers, UpstreamLoad &load)
{
    m_beginTimer.reset();
    Http::Response response(answer.status(), std::move(headers), {});
    while (auto chunk = co_await answer.readSome()) {
        const auto size = response.body.size() + chunk->size();
        if (size > AnswerLimitBytes)
            co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                                  "the answer body exceeds the size limit"));
        if (size > response.body.capacity()) {
            const auto capacity = std::max(size, 2 * response.body.capacity());
            if (!m_exchange.reserve(capacity))
                co_return co_await relayUnheld(answer, std::move(response), std::move(*chunk));
            response.body.reserve(capacity);
        }
        response.body += *chunk;
    }
    noteAnswerOfPlain(m_gateway, *m_plan, response.status, load);
    m_evidence->noteAnswered(response.status < 300);
    if (response.status >= 500) {
        noteAttempt("failed", std::to_string(response.status));
        m_errorResponse = std::move(response);
        co_return m_exchange.hasStarted() ? AttemptOutcome::StreamInterrupted
                                          : AttemptOutcome::ServerError;
    }
    if (m_exchange.hasStarted())
        co_return AttemptOutcome::StreamInterrupted;
    if (m_cancelReason == CancelReason::CallerDisconnected)
        co_return AttemptOutcome::Cancelled;
    m_gateway.metrics().firstByte.observe(m_gateway.dependencies().clock.now() - m_request.arrival,
                                          m_request.labels());
    co_await m_output.respond(std::move(response), m_request.route->mayRunAgain());
    co_return AttemptOutcome::Answered;
}

asio::awaitable<void> RequestRelay::startStream(unsigned status, Http::Headers headers)
{
    const auto onFailure = [this, guard = std::weak_ptr(m_isAlive)] {
        if (const auto alive = guard.lock(); alive && *alive)
            cancel(CancelReason::CallerDisconnected);
    };
    co_await m_output.startStream(status, std::move(headers), m_request.route->mayRunAgain(),
                                  onFailure);
}

asio::awaitable<RequestRelay::AttemptOutcome>
RequestRelay::relayUnheld(Http::ClientExchange &answer, Http::Response begin, std::string next)
{
    // An error response is only relayed after the last attempt.
    if (begin.status >= 500 || m_exchange.hasStarted())
        co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                              "the answer finds no room in memory"));
    if (m_cancelReason == CancelReason::CallerDisconnected)
        co_return AttemptOutcome::Cancelled;
    m_gateway.metrics().firstByte.observe(m_gateway.dependencies().clock.now() - m_request.arrival,
                                          m_request.labels());
    auto size = begin.body.size() + next.size();
    co_await startStream(begin.status, begin.headers);
    co_await m_output.writeReserved(std::move(begin.body));
    co_await m_output.write(std::move(next));
    m_exchange.reserve(0);
    while (auto chunk = co_await answer.readSome()) {
        size += chunk->size();
        if (size > AnswerLimitBytes)
            co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                                  "the answer body exceeds the size limit"));
        co_await m_output.write(std::move(*chunk));
    }
    m_evidence->noteAnswered(begin.status < 300);
    co_await m_output.finishStream();
    co_return AttemptOutcome::Answered;
}

asio::awaitable<RequestRelay::AttemptOutcome>
RequestRelay::relayStream(Http::ClientExchange &answer, Http::Headers headers, UpstreamLoad &load)
{
    if (m_exchange.hasStarted() && !mayContinueStream(answer, m_streamStatus, m_streamHeaders))
        co_return noteInterrupted(
            Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                        "the answer is of another kind than the stream that it resumes"));
    m_events.resume();
    while (auto chunk = co_await answer.readSome()) {
        const auto events = m_events.feed(*chunk);
        if (m_events.isOutOfOrder())
            co_return noteInterrupted(
                Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                            "the answer does not go on after event " + m_events.lastId()));
        if (m_events.partialEventBytes() > EventLimitBytes)
            co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                                                  "an event exceeds the size limit"));
        if (events.empty())
            continue;
        m_progress.noteEvents(m_gateway.dependencies().clock.now());
        m_evidence->noteEvents();
        if (load.noteFirstToken())
            noteFirstToken(load);
        if (!m_exchange.hasStarted()) {
            m_streamStatus = answer.status();
            m_streamHeaders = headers;
            co_await startStream(answer.status(), headers);
        }
        co_await m_output.write(events);
    }
    if (m_events.hasPartialEvent())
        co_return noteInterrupted(Core::Error(Core::ErrorKind::UpstreamFailed,
                                              "the stream ended in the middle of an event"));
    m_evidence->noteAnswered();
    if (!m_exchange.hasStarted())
        co_await startStream(answer.status(), headers);
    if (m_plan->engine)
        m_gateway.engineModel(m_plan->service).addPause(m_progress.longestPause);
    co_await m_output.finishStream();
    co_return AttemptOutcome::Answered;
}

void RequestRelay::noteFirstToken(const UpstreamLoad &load)
{
    const auto now = m_gateway.dependencies().clock.now();
    if (!m_progress.firstByte) {
        m_progress.firstByte = now;
        m_gateway.metrics().firstByte.observe(now - m_request.arrival, m_request.labels());
    }
    m_beginTimer.reset();
    // The engine's prefill is what prompts wait for, not the rest of the answer.
    m_gateway.queue().noteCapacity();
    if (!m_plan->engine)
        return;
    noteWeightsUsed();
    m_plan->upstream->noteCached(m_request.parts);
    if (m_gateway.onPartsRead)
        m_gateway.onPartsRead(*m_plan->upstream, m_request.parts);
    if (auto *store = kvCacheStoreOf(m_gateway, *m_plan); store && m_plan->isSaving) {
        const auto stored = KvCacheStore::storedParts(m_request.parts, m_plan->weights);
        store->noteStored(stored);
        if (m_gateway.onPartsStored)
            m_gateway.onPartsStored(*store, stored);
    }
    const EngineModel::Milliseconds elapsed = now - load.sent();
    if (load.isOnlyPrompt())
        m_gateway.engineModel(m_plan->service)
            .addSample(static_cast<unsigned>(load.tokens()), elapsed);
    noteWait(elapsed);
    const auto expected = m_plan->engine->expectedFirstToken / m_plan->upstream->slowness();
    if (expected >= MinSlownessSampleTime)
        m_plan->upstream->noteSlowness(elapsed / expected);
}

void RequestRelay::noteWeightsUsed()
{
    const auto &dependencies = m_gateway.dependencies();
    m_progress.weights = m_plan->weights;
    const auto outdatedSince =
        dependencies.weights.outdatedSince(m_request.caller.model, m_progress.weights);
    m_progress.weightsOutdatedFor =
        outdatedSince ? dependencies.clock.now() - *outdatedSince : std::chrono::nanoseconds(0);
    if (outdatedSince)
        m_gateway.metrics().weightsOutdated.observe(m_progress.weightsOutdatedFor,
                                                    m_request.labels());
}

void RequestRelay::noteWait(EngineModel::Milliseconds untilFirstToken)
{
    if (isUrgent(*m_request.route, m_request.tenant))
        return;
    const auto &choice = *m_plan->engine;
    const auto ownTime = choice.expectedFirstToken - choice.expectedWait;
    m_gateway.engineModel(m_plan->service)
        .addOrdinaryWait(choice.expectedWait, untilFirstToken - ownTime);
}

asio::awaitable<void> RequestRelay::finish(AttemptOutcome end)
{
    if (end == AttemptOutcome::Answered) {
        co_await m_output.settle();
        m_gateway.metrics().requests.add(1, m_request.labels(), "served");
        logServed(m_gateway, m_request, *m_plan, m_progress);
        co_return;
    }
    if (m_cancelReason == CancelReason::CallerDisconnected) {
        m_gateway.metrics().requests.add(1, m_request.labels(), "caller_gone");
        Core::logEvent(Core::EventId::CallerWentAway, {{"request", m_request.caller.attemptId}});
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    if (m_exchange.hasStarted()) {
        m_gateway.metrics().requests.add(1, m_request.labels(), "cut");
        Core::logEvent(Core::EventId::RequestFailed,
                       {{"request", m_request.caller.attemptId},
                        {"route", m_request.route->name},
                        {"upstream", m_plan->upstream->report().id.value()},
                        {"outcome", "stream cut"},
                        {"ended_by", endedBy()},
                        {"last_event", m_events.lastId()}});
        co_await m_output.settle();
        // Closing the connection is the only way to signal that the stream is incomplete.
        throw boost::system::system_error(asio::error::connection_aborted);
    }
    if (m_errorResponse) {
        m_gateway.metrics().requests.add(1, m_request.labels(), "failed_by_upstream");
        co_await m_exchange.respond(std::move(*m_errorResponse));
        co_return;
    }
    if (!m_mayHaveExecuted) {
        // A named object, because GCC 12 destroys aggregate temporaries of a co_await twice.
        Refusal refusal {Core::ErrorKind::NoUpstream, "no upstream accepted the request",
                         ShortRetryAfter};
        if (m_cancelReason == CancelReason::InstanceStops)
            refusal = stopRefusal();
        if (m_cancelReason == CancelReason::DeadlineExpired)
            refusal = {Core::ErrorKind::DeadlineUnreachable,
                       "the deadline expired before an upstream accepted the request",
                       std::nullopt};
        co_await refuse(refusal);
        co_return;
    }
    const bool isTimeout = m_cancelReason == CancelReason::DeadlineExpired || m_hasTimedOut;
    const auto kind =
        isTimeout ? Core::ErrorKind::UpstreamTimedOut : Core::ErrorKind::UpstreamFailed;
    m_gateway.metrics().requests.add(1, m_request.labels(), isTimeout ? "timed_out" : "failed");
    Core::logEvent(Core::EventId::RequestFailed,
                   {{"request", m_request.caller.attemptId},
                    {"route", m_request.route->name},
                    {"upstream", m_plan->upstream->report().id.value()},
                    {"outcome", std::string(Core::errorKindRow(kind).name)},
                    {"ended_by", endedBy()},
                    {"sends", text(m_progress.sends)}});
    co_await respondError(kind,
                          m_cancelReason == CancelReason::InstanceStops
                              ? "the instance stops before the upstream has answered"
                              : "the upstream did not return a complete answer",
                          {});
}

std::string RequestRelay::endedBy() const
{
    switch (m_cancelReason) {
    case CancelReason::None:
        return "upstream";
    case CancelReason::CallerDisconnected:
        return "caller";
    case CancelReason::DeadlineExpired:
        return "deadline";
    case CancelReason::InstanceStops:
        return "stop";
    }
    return "";
}

asio::awaitable<void> RequestRelay::refuse(const Refusal &refusal)
{
    auto retryAfter = refusal.retryAfter;
    if (refusal.shortage && m_gateway.dependencies().settings.queuesRequests) {
        retryAfter = promiseReturn(m_gateway, m_request, *refusal.shortage);
        logCapacityRefusal(m_gateway, m_request, *refusal.shortage, m_waited, retryAfter);
    }
    logRefusal(m_gateway, m_request, refusal);
    noteMemoryRefusal(m_gateway, m_request, refusal);
    m_gateway.metrics().requests.add(1, m_request.labels(), "refused");
    m_gateway.metrics().refusals.add(1, m_request.labels(),
                                     std::string(Core::errorKindRow(refusal.kind).name));
    co_await respondError(refusal.kind, refusal.reason, retryAfter);
}

asio::awaitable<void>
RequestRelay::respondError(Core::ErrorKind kind, const std::string &reason,
                           std::optional<std::chrono::milliseconds> retryAfter)
{
    auto response = Http::errorResponse(Core::Error(kind, reason));
    // The request itself is valid, but this service does not accept it any more, hence a server
    // error.
    if (kind == Core::ErrorKind::PoisonRequest)
        response.status = 503;
    response.headers.remove("Retry-After");
    if (retryAfter) {
        auto wait = *retryAfter;
        if (m_request.deadline != Core::Clock::Monotonic::max())
            wait = std::clamp<milliseconds>(wait, 0ms, remainingTime() / RetryAfterShare);
        response.headers.add("Retry-After", formatSeconds(wait));
    }
    co_await m_exchange.respond(std::move(response));
}

void RequestRelay::noteAttempt(std::string_view end, const std::string &reason) const
{
    logAttempt(m_gateway, m_request, *m_plan, m_progress, end, reason);
}

milliseconds RequestRelay::remainingTime() const
{
    return m_request.remainingTime(m_gateway.dependencies().clock.now());
}

} // namespace Gateway
