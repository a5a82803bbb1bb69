#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/RequestRelay.h>
#include <LibGateway/Urgency.h>

#include <boost/asio/this_coro.hpp>

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
// Bytes that an upstream leaves unacknowledged for this long were sent to one that is gone.
constexpr auto UnacknowledgedTimeout = 1'500ms;
// A request that could not be sent is offered to this many upstreams in all.
constexpr unsigned MostSends = 6;
constexpr std::size_t AnswerLimitBytes = 64 * 1024 * 1024;
// Callers honour a Retry-After of up to a third of the time that they have left.
constexpr int RetryAfterShare = 3;
constexpr auto ShortRetryAfter = 300ms;
constexpr auto LeastRetryAfter = 100ms;
// Streams are given up by callers after this many times the target without a first event.
constexpr double PatienceInTargets = 4;
// What is less urgent waits for at most this part of its target: a longer queue serves no more
// requests, and delays the urgent ones that share the engines' steps with it.
constexpr double QueueInTargets = 0.5;
// Of a stream's time, this share may be spent on waiting for the first token.
constexpr double FirstTokenShare = 0.85;
// Younger knowledge than this part of the configuration's bound is taken to be complete.
constexpr double CompleteKnowledgeShare = 0.75;
// An engine with older weights is passed over from this part of the weights' bound on.
constexpr double WeightsPatienceShare = 0.65;
// Connections beyond an equal share that may still be starting or closing.
constexpr unsigned SpareInstances = 1;
// Entries of the list lapse after this many reports that did not come.
constexpr int LapsedReports = 3;
constexpr auto BusyHold = 120ms;
constexpr double Percent = 100;
constexpr double BytesPerMegabit = 125'000;
constexpr double MillisecondsPerSecond = 1'000;
// Shorter times to the first token say little about an engine's speed.
constexpr EngineModel::Milliseconds LeastJudgedTime {20};

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

} // namespace

RequestRelay::RequestRelay(Gateway &gateway, Http::ServerExchange &exchange)
    : m_gateway(gateway)
    , m_exchange(exchange)
    , m_arrival(gateway.parts().clock.now())
    , m_deadline(Core::Clock::Monotonic::max())
{ }

RequestRelay::~RequestRelay()
{
    *m_isAlive = false;
}

asio::awaitable<void> RequestRelay::run()
{
    auto refusal = readRequest();
    if (!refusal && m_gateway.isRefusing())
        refusal = Refusal {Core::ErrorKind::Draining, "the instance ends", LeastRetryAfter};
    if (!refusal)
        refusal = authorize();
    if (refusal) {
        co_await refuse(*refusal);
        co_return;
    }
    m_timer = std::make_unique<asio::steady_timer>(co_await asio::this_coro::executor);
    startTimers();
    co_await attempts();
}

std::optional<Refusal> RequestRelay::readRequest()
{
    auto request = m_gateway.parts().dialect.decode(m_exchange.request());
    if (!request)
        return Refusal {Core::ErrorKind::MalformedRequest, request.error().detail(), {}};
    m_request = std::move(request.value());
    return std::nullopt;
}

std::optional<Refusal> RequestRelay::authorize()
{
    const auto &parts = m_gateway.parts();
    const auto now = parts.clock.now();
    m_configuration = parts.configuration.current();
    if (!m_configuration)
        return Refusal {Core::ErrorKind::NotReady, "no configuration is known yet",
                        ShortRetryAfter};
    // What is not known may have been added since; only fresh knowledge denies it.
    const bool isComplete =
        parts.configuration.age(now) < CompleteKnowledgeShare * parts.settings.configurationBound;
    const Refusal outOfDate {Core::ErrorKind::NotReady, "the configuration may be out of date",
                             ShortRetryAfter};
    const auto &target = m_exchange.request().target;
    m_route = m_configuration->findRoute(m_request.host, target.substr(0, target.find('?')));
    if (!m_route)
        return isComplete ? Refusal {Core::ErrorKind::UnknownRoute, "no route matches", {}}
                          : outOfDate;
    m_tenant = m_configuration->findTenant(m_request.key);
    if (!m_route->isPublic && !m_configuration->tenants.empty()) {
        if (!m_gateway.knowsKeys())
            return outOfDate;
        if (!m_tenant)
            return isComplete ? Refusal {Core::ErrorKind::Unauthenticated, "unknown key", {}}
                              : outOfDate;
    }
    m_digest = requestDigest(target, m_tenant ? m_tenant->name : "", m_exchange.request().body);
    if (m_gateway.poison().isPoison(m_digest, now))
        return Refusal {Core::ErrorKind::PoisonRequest, "broke several upstreams", {}};
    const auto allowed = std::min(m_request.patience.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrival + allowed;
    m_parts.clear();
    std::uint64_t chain = Core::hash64(cacheScope(), Core::hash64(m_request.model));
    for (const auto &part : m_request.parts) {
        chain = Core::hash64(part.id, chain);
        m_parts.push_back({chain, part.tokens});
    }
    return std::nullopt;
}

std::optional<Refusal> RequestRelay::authorizeAgain()
{
    const auto configuration = m_configuration;
    const auto *route = m_route;
    const auto *tenant = m_tenant;
    auto denied = authorize();
    if (denied) {
        // What becomes of the request is still told by the route that it was sent on.
        m_configuration = configuration;
        m_route = route;
        m_tenant = tenant;
    }
    return denied;
}

void RequestRelay::startTimers()
{
    const auto guard = std::weak_ptr(m_isAlive);
    m_exchange.setCallerGoneHook([this, guard] {
        if (const auto alive = guard.lock(); alive && *alive)
            endWith(EndReason::CallerGone);
    });
    m_timer->expires_after(left());
    m_timer->async_wait([this, guard](const auto &ec) {
        const auto alive = guard.lock();
        if (!ec && alive && *alive)
            endWith(EndReason::TimeOver);
    });
}

void RequestRelay::endWith(EndReason reason)
{
    if (m_endReason != EndReason::None)
        return;
    m_endReason = reason;
    if (m_abort)
        m_abort->abort();
}

asio::awaitable<void> RequestRelay::attempts()
{
    bool isFirst = true;
    for (;;) {
        const auto refusal = choose();
        if (refusal && (m_mayHaveRun || m_failure || m_exchange.hasStarted())) {
            co_await finish(AttemptEnd::Broken);
            co_return;
        }
        if (refusal) {
            co_await refuse(*refusal);
            co_return;
        }
        if (isFirst)
            m_gateway.retries(m_service).noteRequest(m_gateway.parts().clock.now());
        isFirst = false;
        const auto end = co_await attempt();
        if (end == AttemptEnd::Answered || !mayTryAgain(end)) {
            co_await finish(end);
            co_return;
        }
        // A queued or repeated request is judged by the configuration in force when it is sent.
        const auto denied = authorizeAgain();
        if (denied && !m_mayHaveRun) {
            co_await refuse(*denied);
            co_return;
        }
        if (denied) {
            co_await finish(end);
            co_return;
        }
    }
}

std::optional<Refusal> RequestRelay::choose()
{
    const auto &parts = m_gateway.parts();
    std::vector<double> weights;
    for (const auto &entry : m_route->services)
        weights.push_back(entry.weight);
    if (weights.empty())
        return Refusal {Core::ErrorKind::NoUpstream, "the route has no service", {}};
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    m_service = m_route->services[pick(m_gateway.random())].service;
    const auto *service = m_configuration->findService(m_service);
    if (!service)
        return Refusal {Core::ErrorKind::NoUpstream, "service " + m_service + " is not configured",
                        ShortRetryAfter};
    ChoiceLimits limits;
    limits.mostInFlight = std::max(2U, service->maxConnections
                                           / (m_gateway.instances().value_or(1) + SpareInstances));
    limits.excluded = m_excluded;
    limits.now = parts.clock.now();
    m_engine.reset();
    if (service->engine && !m_request.model.empty())
        return chooseAmongEngines(*service, std::move(limits));
    auto chosen = chooseService(parts.fleet.members(m_service), limits, m_gateway.random());
    if (!chosen)
        return Refusal {Core::ErrorKind::NoUpstream, "no upstream of " + m_service + " is free",
                        ShortRetryAfter};
    m_upstream = std::move(chosen);
    return std::nullopt;
}

std::optional<Refusal> RequestRelay::chooseAmongEngines(const Service &service, ChoiceLimits limits)
{
    const auto &parts = m_gateway.parts();
    EngineDemand demand;
    demand.parts = m_parts;
    demand.promptTokens = std::max(totalTokens(m_parts), m_request.promptTokens);
    if (m_parts.size() > 1)
        demand.homeKey = m_parts[m_parts.size() - 2].chain;
    demand.sharedTokens = sharedTokens();
    demand.model = m_request.model;
    const auto *store = m_gateway.stores().storeFor(demand.homeKey);
    demand.store = store;
    m_storeHolder = store ? store->holder() : 0;
    demand.isUrgent = isUrgent(*m_route, m_tenant);
    demand.targets = &parts.weights;
    demand.weightsPatience =
        duration_cast<milliseconds>(WeightsPatienceShare * parts.settings.weightsBound);
    demand.slots = service.engine->slots;
    demand.memoryTokens = memoryTokens();
    demand.memoryCapacity = service.engine->cacheTokens;
    if (service.engine->bytesPerToken > 0)
        demand.fetchTokensPerMillisecond = service.engine->linkMegabitsPerSecond * BytesPerMegabit
                                           / MillisecondsPerSecond
                                           / static_cast<double>(service.engine->bytesPerToken);
    auto chosen = chooseEngine(parts.fleet.members(m_service), m_gateway.engineModel(m_service),
                               demand, limits);
    if (!chosen)
        return Refusal {Core::ErrorKind::NoUpstream, "no engine of " + m_service + " is free",
                        ShortRetryAfter};
    if (auto refusal = refuseSlowEngine(*chosen))
        return refusal;
    m_engine = std::move(chosen);
    m_upstream = m_engine->upstream;
    return std::nullopt;
}

std::optional<Refusal> RequestRelay::refuseSlowEngine(const EngineChoice &choice) const
{
    const auto most = isUrgent(*m_route, m_tenant) ? PatienceInTargets : QueueInTargets;
    const auto patience =
        std::min<EngineModel::Milliseconds>(most * EngineModel::Milliseconds(m_route->target),
                                            FirstTokenShare * EngineModel::Milliseconds(left()));
    if (choice.expectedFirst <= patience)
        return std::nullopt;
    const auto wait = choice.expectedFirst - m_route->target;
    return Refusal {Core::ErrorKind::Overloaded,
                    "first token expected in "
                        + text(static_cast<std::uint64_t>(choice.expectedFirst.count())) + " ms",
                    std::max<milliseconds>(LeastRetryAfter, duration_cast<milliseconds>(wait))};
}

bool RequestRelay::mayStillSend()
{
    if (m_endReason != EndReason::None)
        return false;
    const auto &parts = m_gateway.parts();
    if (m_upstream->isGone() || m_upstream->report().isDraining
        || m_upstream->heldUntil() > parts.clock.now())
        return false;
    const auto &current = parts.configuration.current();
    if (current == m_configuration)
        return m_route->isPublic || current->tenants.empty() || m_gateway.knowsKeys();
    // Another version came in force since the choice; choose anew under it.
    return false;
}

bool RequestRelay::mayTryAgain(AttemptEnd end)
{
    if (m_endReason != EndReason::None || left() <= 0ms)
        return false;
    const auto &parts = m_gateway.parts();
    const auto mayRepeat = [&] {
        return m_gateway.retries(m_service).tryRepeat(parts.settings.retries, m_gateway.instances(),
                                                      parts.clock.now());
    };
    switch (end) {
    case AttemptEnd::NotSent:
        return m_sends < MostSends;
    case AttemptEnd::NotRun:
        return m_sends < MostSends && mayRepeat();
    case AttemptEnd::Broken:
    case AttemptEnd::FailedByUpstream:
        return m_route->mayRunAgain() && m_runs < m_route->maxAttempts
               && !m_gateway.poison().isPoison(m_digest, parts.clock.now()) && mayRepeat();
    case AttemptEnd::StreamBroken:
        return m_route->mayRunAgain() && !m_events.lastId().empty() && m_runs < m_route->maxAttempts
               && mayRepeat();
    case AttemptEnd::Answered:
    case AttemptEnd::Ended:
        return false;
    }
    return false;
}

asio::awaitable<RequestRelay::AttemptEnd> RequestRelay::attempt()
{
    ++m_sends;
    m_excluded.insert(m_upstream->report().id);
    std::uint64_t missed = 0;
    if (m_engine) {
        const auto total = totalTokens(m_parts);
        missed = total - std::min(total, m_engine->readyTokens);
        m_gateway.metrics().promptTokens.add(total, labels());
        m_gateway.metrics().keptTokens.add(total - missed, labels());
        m_gateway.metrics().expectedFirst.observe(
            duration_cast<std::chrono::nanoseconds>(m_engine->expectedFirst), labels());
        const auto &engine = *m_configuration->findService(m_service)->engine;
        m_upstream->memory().setCapacity(engine.cacheTokens);
        m_sentWeights = m_upstream->weights(m_request.model);
        m_isSaving = shouldSave();
    }
    UpstreamLoad load(m_upstream, missed, memoryTokens(), isUrgent(*m_route, m_tenant),
                      m_gateway.parts().clock.now());
    const auto end = co_await exchangeWith(load);
    const auto now = m_gateway.parts().clock.now();
    if (end == AttemptEnd::Answered)
        m_upstream->noteOutcome(true, now);
    else if (end != AttemptEnd::Ended && end != AttemptEnd::NotRun)
        m_upstream->noteOutcome(false, now);
    co_return end;
}

Http::Request RequestRelay::upstreamRequest() const
{
    const auto &request = m_exchange.request();
    Dispatch dispatch;
    dispatch.upstream = m_upstream->report().id;
    dispatch.left = left();
    dispatch.tenant = m_tenant ? m_tenant->name : "";
    dispatch.cacheScope = cacheScope();
    dispatch.urgency =
        urgencyLevel(*m_route, m_tenant, m_engine && m_engine->expectedFirst > m_route->target);
    if (m_engine) {
        // Parts are only found under the scope's name, so that memory made by other weights is out
        // of reach wherever it lies; the upstream refuses the request if it has other weights.
        const auto weights = m_upstream->weights(m_request.model);
        dispatch.weights = weights;
        dispatch.cacheScope += ".weights-" + text(weights);
        const auto *store = partStore();
        if (store && m_engine->isFromStore)
            dispatch.fetchFrom = store->endpoint();
        if (store && m_isSaving)
            dispatch.saveTo = store->endpoint();
        if (m_engine->source && !m_engine->source->isGone()
            && m_engine->source->weights(m_request.model) == weights)
            dispatch.fetchFrom = m_engine->source->report().endpoint;
    }
    dispatch.resumeAfter = m_events.lastId().empty() ? m_request.resumeAfter : m_events.lastId();
    return Http::Request(request.method, request.target,
                         m_gateway.parts().dialect.upstreamHeaders(request, dispatch),
                         request.body);
}

asio::awaitable<RequestRelay::AttemptEnd> RequestRelay::exchangeWith(UpstreamLoad &load)
{
    m_abort = std::make_shared<Http::CallAbort>();
    if (m_endReason != EndReason::None)
        m_abort->abort();
    Http::SendOptions options;
    // A kept connection that turns out closed leaves open whether the request ran.
    options.mayRepeat = false;
    options.abort = m_abort;
    options.unacknowledged = UnacknowledgedTimeout;
    options.maySend = [this] { return mayStillSend(); };
    // The deadline's timer ends the call; these only bound what it would forget.
    Http::ClientTimeouts timeouts;
    timeouts.connect = std::min<milliseconds>(ConnectTimeout, left());
    timeouts.head = left() + 1s;
    timeouts.body = left() + 1s;
    std::unique_ptr<Http::ClientExchange> answer;
    std::optional<Core::Error> failure;
    try {
        answer = co_await m_gateway.parts().client.open(m_upstream->report().endpoint,
                                                        upstreamRequest(), timeouts, options);
    } catch (const Core::Error &error) {
        failure = error;
    }
    if (failure && failure->kind() == Core::ErrorKind::UpstreamUnreachable) {
        logAttempt("not_sent", failure->detail());
        co_return m_endReason == EndReason::None ? AttemptEnd::NotSent : AttemptEnd::Ended;
    }
    // From here on bytes of the request may have reached the upstream.
    const bool mayHaveRunBefore = std::exchange(m_mayHaveRun, true);
    ++m_runs;
    if (failure)
        co_return noteBroken(*failure);
    const auto end = co_await relayAnswer(*answer, load);
    if (end == AttemptEnd::NotRun) {
        m_mayHaveRun = mayHaveRunBefore;
        --m_runs;
    }
    if (end != AttemptEnd::Answered && end != AttemptEnd::FailedByUpstream
        && end != AttemptEnd::NotRun)
        answer->abort();
    co_return end;
}

RequestRelay::AttemptEnd RequestRelay::noteBroken(const Core::Error &error)
{
    if (m_endReason != EndReason::None)
        return AttemptEnd::Ended;
    m_hasTimedOut = error.kind() == Core::ErrorKind::UpstreamTimedOut;
    logAttempt("broken", error.what());
    if (error.kind() == Core::ErrorKind::UpstreamFailed) {
        m_gateway.poison().noteBreak(m_digest, m_gateway.parts().clock.now());
        if (m_gateway.onBreak)
            m_gateway.onBreak(m_digest);
    }
    return m_exchange.hasStarted() ? AttemptEnd::StreamBroken : AttemptEnd::Broken;
}

asio::awaitable<RequestRelay::AttemptEnd> RequestRelay::relayAnswer(Http::ClientExchange &answer,
                                                                    UpstreamLoad &load)
{
    const auto head = m_gateway.parts().dialect.readHead(answer.status(), answer.headers());
    if (!head.attemptId.empty() && head.attemptId != m_request.attemptId) {
        Core::logEvent(Core::EventId::UpstreamAnswerInvalid,
                       {{"upstream", m_upstream->report().id.value()},
                        {"request", m_request.attemptId},
                        {"answered", head.attemptId}});
        co_return noteBroken(Core::Error(Core::ErrorKind::UpstreamGarbage, "another's answer"));
    }
    std::optional<Core::Error> failure;
    try {
        if (head.isOtherUpstream || head.isNotRun) {
            noteRefusedByUpstream(answer.status(), head);
            // Taking the body in whole lets the connection serve on.
            while (co_await answer.readSome()) { }
            co_return AttemptEnd::NotRun;
        }
        if (head.weights && *head.weights > m_upstream->weights(m_request.model)) {
            m_upstream->noteWeights(m_request.model, *head.weights);
            if (m_gateway.onWeightsSeen)
                m_gateway.onWeightsSeen(*m_upstream, m_request.model, *head.weights);
        }
        auto headers = Http::withoutConnectionFields(answer.headers());
        const bool isSuccess = answer.status() < 300;
        if (!head.isSealed)
            co_return noteBroken(Core::Error(Core::ErrorKind::UpstreamGarbage, "no seal"));
        if (isSuccess && m_route->kind == RequestKind::Stream)
            co_return co_await relayStream(answer, std::move(headers), load);
        co_return co_await relayWhole(answer, std::move(headers));
    } catch (const Core::Error &error) {
        failure = error;
    }
    co_return noteBroken(*failure);
}

void RequestRelay::noteRefusedByUpstream(unsigned status, const AnswerHead &head)
{
    const auto now = m_gateway.parts().clock.now();
    logAttempt(head.isOtherUpstream ? "other_upstream" : "not_run",
               std::to_string(status) + " from " + head.upstream.value() + ", believed weights "
                   + text(m_upstream->weights(m_request.model)));
    if (head.isOtherUpstream && head.upstream != m_upstream->report().id) {
        // Another life has the address; the entry of the one before has yet to lapse.
        m_upstream->holdUntil(now + LapsedReports * m_gateway.parts().settings.reportInterval);
        if (m_gateway.onHold)
            m_gateway.onHold(*m_upstream,
                             LapsedReports * m_gateway.parts().settings.reportInterval);
        return;
    }
    if (!m_engine)
        return;
    // It is full or carries out an order, or took other weights than were known.
    m_upstream->holdUntil(std::max(m_upstream->heldUntil(), now + BusyHold));
    if (head.isOtherUpstream && m_gateway.onOtherWeights)
        m_gateway.onOtherWeights(m_upstream);
}

asio::awaitable<RequestRelay::AttemptEnd> RequestRelay::relayWhole(Http::ClientExchange &answer,
                                                                   Http::Headers headers)
{
    Http::Response response(answer.status(), std::move(headers), {});
    while (auto piece = co_await answer.readSome()) {
        response.body += *piece;
        if (response.body.size() > AnswerLimitBytes)
            co_return noteBroken(Core::Error(Core::ErrorKind::UpstreamGarbage, "too large"));
    }
    if (response.status >= 500) {
        logAttempt("failed", std::to_string(response.status));
        m_failure = std::move(response);
        co_return m_exchange.hasStarted() ? AttemptEnd::StreamBroken : AttemptEnd::FailedByUpstream;
    }
    if (m_exchange.hasStarted())
        co_return AttemptEnd::StreamBroken;
    if (m_endReason == EndReason::CallerGone)
        co_return AttemptEnd::Ended;
    m_gateway.metrics().firstByte.observe(m_gateway.parts().clock.now() - m_arrival, labels());
    co_await m_exchange.respond(std::move(response));
    co_return AttemptEnd::Answered;
}

asio::awaitable<RequestRelay::AttemptEnd>
RequestRelay::relayStream(Http::ClientExchange &answer, Http::Headers headers, UpstreamLoad &load)
{
    m_events.dropPartialEvent();
    while (auto piece = co_await answer.readSome()) {
        const auto events = m_events.feed(*piece);
        if (events.empty())
            continue;
        if (load.noteFirstToken())
            learnFirstToken(load);
        if (!m_exchange.hasStarted())
            co_await m_exchange.startStream(answer.status(), headers);
        co_await m_exchange.write(events);
    }
    if (m_events.hasPartialEvent())
        co_return noteBroken(Core::Error(Core::ErrorKind::UpstreamFailed, "ended amid an event"));
    if (!m_exchange.hasStarted())
        co_await m_exchange.startStream(answer.status(), headers);
    co_await m_exchange.finishStream();
    co_return AttemptEnd::Answered;
}

void RequestRelay::learnFirstToken(const UpstreamLoad &load)
{
    const auto now = m_gateway.parts().clock.now();
    if (!m_firstByte) {
        m_firstByte = now;
        m_gateway.metrics().firstByte.observe(now - m_arrival, labels());
    }
    if (!m_engine)
        return;
    m_upstream->noteKept(m_parts);
    if (m_gateway.onPartsRead)
        m_gateway.onPartsRead(*m_upstream, m_parts);
    if (auto *store = partStore(); store && m_isSaving) {
        const auto stored = PartStore::storedParts(m_parts, m_sentWeights);
        store->noteStored(stored);
        if (m_gateway.onPartsStored)
            m_gateway.onPartsStored(*store, stored);
    }
    const EngineModel::Milliseconds taken = now - load.sent();
    if (load.isAlone())
        m_gateway.engineModel(m_service).learn(static_cast<unsigned>(load.tokens()), taken);
    const auto usual = m_engine->expectedFirst / m_upstream->slowness();
    if (usual >= LeastJudgedTime)
        m_upstream->noteSlowness(taken / usual);
}

asio::awaitable<void> RequestRelay::finish(AttemptEnd end)
{
    if (end == AttemptEnd::Answered) {
        m_gateway.metrics().requests.add(1, labels(), "served");
        logServed();
        co_return;
    }
    if (m_endReason == EndReason::CallerGone) {
        m_gateway.metrics().requests.add(1, labels(), "caller_gone");
        Core::logEvent(Core::EventId::CallerWentAway, {{"request", m_request.attemptId}});
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    if (m_exchange.hasStarted()) {
        m_gateway.metrics().requests.add(1, labels(), "cut");
        Core::logEvent(Core::EventId::RequestFailed, {{"request", m_request.attemptId},
                                                      {"route", m_route->name},
                                                      {"upstream", m_upstream->report().id.value()},
                                                      {"outcome", "stream cut"},
                                                      {"last_event", m_events.lastId()}});
        // Closing the connection is the only way to say that the stream is not whole.
        throw boost::system::system_error(asio::error::connection_aborted);
    }
    if (m_failure) {
        m_gateway.metrics().requests.add(1, labels(), "failed_by_upstream");
        co_await m_exchange.respond(std::move(*m_failure));
        co_return;
    }
    if (!m_mayHaveRun) {
        // A named object, because GCC 12 destroys aggregate temporaries of a co_await twice.
        Refusal refusal {Core::ErrorKind::NoUpstream, "no upstream took the request",
                         ShortRetryAfter};
        if (m_endReason == EndReason::TimeOver)
            refusal = {Core::ErrorKind::DeadlineUnreachable, "time is over", std::nullopt};
        co_await refuse(refusal);
        co_return;
    }
    const bool isTimeOver = m_endReason == EndReason::TimeOver || m_hasTimedOut;
    const auto kind =
        isTimeOver ? Core::ErrorKind::UpstreamTimedOut : Core::ErrorKind::UpstreamFailed;
    m_gateway.metrics().requests.add(1, labels(), isTimeOver ? "timed_out" : "failed");
    Core::logEvent(Core::EventId::RequestFailed,
                   {{"request", m_request.attemptId},
                    {"route", m_route->name},
                    {"upstream", m_upstream->report().id.value()},
                    {"outcome", std::string(Core::errorKindRow(kind).name)},
                    {"sends", text(m_sends)}});
    co_await respondError(kind, "the upstream did not answer", {});
}

asio::awaitable<void> RequestRelay::refuse(const Refusal &refusal)
{
    logRefusal(refusal);
    m_gateway.metrics().requests.add(1, labels(), "refused");
    m_gateway.metrics().refusals.add(1, labels(),
                                     std::string(Core::errorKindRow(refusal.kind).name));
    co_await respondError(refusal.kind, refusal.reason, refusal.retryAfter);
}

asio::awaitable<void>
RequestRelay::respondError(Core::ErrorKind kind, const std::string &reason,
                           std::optional<std::chrono::milliseconds> retryAfter)
{
    auto response = Http::errorResponse(Core::Error(kind, reason));
    // The request itself is proper; it is this service that will not take it any more.
    if (kind == Core::ErrorKind::PoisonRequest)
        response.status = 503;
    response.headers.remove("Retry-After");
    if (retryAfter) {
        auto wait = *retryAfter;
        if (m_deadline != Core::Clock::Monotonic::max())
            wait = std::clamp<milliseconds>(wait, 0ms, left() / RetryAfterShare);
        response.headers.add("Retry-After", formatSeconds(wait));
    }
    co_await m_exchange.respond(std::move(response));
}

void RequestRelay::logRefusal(const Refusal &refusal) const
{
    const auto &parts = m_gateway.parts();
    const auto age = parts.configuration.age(parts.clock.now());
    Core::logEvent(Core::EventId::RequestRefused,
                   {{"request", m_request.attemptId},
                    {"route", m_route ? m_route->name : ""},
                    {"tenant", m_tenant ? m_tenant->name : ""},
                    {"kind", std::string(Core::errorKindRow(refusal.kind).name)},
                    {"reason", refusal.reason},
                    {"configuration", m_configuration ? text(m_configuration->version) : "none"},
                    {"age_ms", std::to_string(duration_cast<milliseconds>(age).count())}});
}

void RequestRelay::logServed() const
{
    const auto now = m_gateway.parts().clock.now();
    const auto milliseconds = [](auto time) {
        return std::to_string(duration_cast<std::chrono::milliseconds>(time).count());
    };
    Core::logEvent(
        Core::EventId::RequestServed,
        {{"request", m_request.attemptId},
         {"route", m_route->name},
         {"tenant", m_tenant ? m_tenant->name : ""},
         {"upstream", m_upstream->report().id.value()},
         {"sends", text(m_sends)},
         {"took_ms", milliseconds(now - m_arrival)},
         {"first_ms", milliseconds(m_firstByte.value_or(now) - m_arrival)},
         {"expected_ms", m_engine ? milliseconds(m_engine->expectedFirst) : "0"},
         {"ready_tokens", text(m_engine ? m_engine->readyTokens : 0)},
         {"kept_tokens", text(m_engine ? m_engine->keptTokens : 0)},
         {"shared_tokens", text(sharedTokens())},
         {"prompt_tokens", text(m_request.promptTokens)},
         {"source", fetchSource()},
         {"tokens_per_ms", text(static_cast<std::uint64_t>(
                               m_gateway.engineModel(m_service).tokensPerMillisecond()))},
         {"slowness_percent", text(static_cast<std::uint64_t>(m_upstream->slowness() * Percent))}});
}

void RequestRelay::logAttempt(std::string_view end, const std::string &reason) const
{
    m_gateway.metrics().attempts.add(1, labels(), std::string(end));
    Core::logEvent(Core::EventId::AttemptFailed, {{"request", m_request.attemptId},
                                                  {"upstream", m_upstream->report().id.value()},
                                                  {"end", std::string(end)},
                                                  {"reason", reason},
                                                  {"send", text(m_sends)},
                                                  {"left_ms", std::to_string(left().count())}});
}

unsigned RequestRelay::sharedTokens() const
{
    // The last part belongs to the request itself.
    return m_parts.empty() ? 0 : totalTokens(std::span(m_parts).first(m_parts.size() - 1));
}

std::string RequestRelay::fetchSource() const
{
    if (!m_engine || (!m_engine->source && !m_engine->isFromStore))
        return "none";
    const auto source = m_engine->isFromStore ? "store" : m_engine->source->report().id.value();
    return (m_engine->isGuess ? "perhaps " : "") + source;
}

milliseconds RequestRelay::left() const
{
    const auto rest = m_deadline - m_gateway.parts().clock.now();
    return std::max(0ms, duration_cast<milliseconds>(rest));
}

std::string RequestRelay::cacheScope() const
{
    return m_tenant && m_tenant->isIsolated ? "team." + m_tenant->name : "shared";
}

bool RequestRelay::shouldSave() const
{
    // The last part is the request's own; saving it takes room from what others share.
    const auto *store = partStore();
    if (!store || m_parts.size() < 2)
        return false;
    const std::span shared(m_parts.data(), m_parts.size() - 1);
    const auto tokens = totalTokens(shared);
    return tokens >= PartStore::LeastTokens && store->storedTokens(shared, m_sentWeights) < tokens;
}

PartStore *RequestRelay::partStore() const
{
    auto *store = m_gateway.stores().find(m_storeHolder);
    return store && store->isAnswering() ? store : nullptr;
}

std::uint64_t RequestRelay::memoryTokens() const
{
    // Few answers use all the tokens that they may.
    return m_request.promptTokens + m_request.outputTokens / 2;
}

Metrics::Labels RequestRelay::labels() const
{
    return {m_tenant ? m_tenant->name : "", m_route ? m_route->name : ""};
}

} // namespace Gateway
