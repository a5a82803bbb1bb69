#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibRouter/ServiceRelay.h>

#include <algorithm>
#include <array>

namespace Router {

namespace asio = boost::asio;

namespace {

/// Returns whether a header may be forwarded. Headers that belong to one connection or that contain
/// the caller's credentials may not.
bool mayForward(std::string_view name)
{
    constexpr std::array<std::string_view, 9> NotForwarded {
        "Connection", "Keep-Alive",     "Transfer-Encoding", "TE",     "Upgrade",
        "Host",       "Content-Length", "Authorization",     "Expect",
    };
    return std::none_of(NotForwarded.begin(), NotForwarded.end(),
                        [name](std::string_view notForwarded) {
                            return Http::equalIgnoringCase(name, notForwarded);
                        });
}

Http::Headers forwardableHeaders(const Http::Headers &headers)
{
    Http::Headers kept;
    for (const auto &field : headers) {
        if (mayForward(field.name))
            kept.add(field.name, field.value);
    }
    return kept;
}

} // namespace

ServiceTarget ServiceTarget::parse(std::string_view target)
{
    constexpr std::string_view Prefix = "/services/";
    target.remove_prefix(Prefix.size());
    const auto slash = target.find('/');
    if (slash == std::string_view::npos || slash == 0)
        throw Core::Error(Core::ErrorKind::UnknownRoute);
    return {std::string(target.substr(0, slash)), std::string(target.substr(slash))};
}

std::string_view ServiceTarget::path() const
{
    return std::string_view(rest).substr(0, rest.find('?'));
}

ServiceRelay::ServiceRelay(Instance &instance, Http::ServerExchange &exchange, CallContext context,
                           const Configuration::PlainService &service, const ServiceTarget &target)
    : m_instance(instance)
    , m_exchange(exchange)
    , m_context(std::move(context))
    , m_service(service)
    , m_call(makeCall(target))
{ }

ServiceCall ServiceRelay::makeCall(const ServiceTarget &target) const
{
    const auto &incoming = m_exchange.request();
    ServiceCall call;
    call.group = m_service.upstreamGroup;
    call.timeout = m_service.timeout;
    call.request = Http::Request(incoming.method, target.rest, forwardableHeaders(incoming.headers),
                                 incoming.body);
    call.request.headers.remove("X-Team");
    call.request.headers.remove("X-Request-Id");
    call.request.headers.add("X-Team", m_context.team->id.value());
    call.request.headers.add("X-Request-Id", m_context.requestId);
    return call;
}

Admission::Ticket ServiceRelay::ticket() const
{
    Admission::Ticket ticket;
    ticket.group = m_service.upstreamGroup;
    ticket.team = m_context.team->id;
    ticket.priorityClass = m_context.priorityClass->id;
    ticket.deadline = m_context.arrivedAt + m_context.priorityClass->queueTimeout;
    return ticket;
}

asio::awaitable<void> ServiceRelay::runIdempotent()
{
    const auto slot = co_await awaitAdmission(m_instance, ticket(), m_exchange);
    m_instance.metrics().queueWait.observe(slot.grant().waited, m_context.labels());
    auto &budget = m_instance.retryBudget(m_service.upstreamGroup);
    std::vector<UpstreamPtr> tried;
    std::optional<Core::Error> failure;
    while (tried.size() < m_instance.settings().attempts) {
        if (failure && !budget.tryRetry(m_instance.clock().now()))
            break;
        const auto upstream = chooseServiceUpstream(m_instance, m_service.upstreamGroup, tried);
        if (!upstream)
            break;
        try {
            auto response = co_await sendServiceCall(m_instance, m_call, upstream,
                                                     Http::ConnectionUse::PooledOrNew);
            budget.noteSuccess();
            response.headers = forwardableHeaders(response.headers);
            co_await m_exchange.respond(std::move(response));
            co_return;
        } catch (const Core::Error &error) {
            failure = failure ? Core::afterOtherAttempts(error, failure->attempt()) : error;
        }
        tried.push_back(upstream);
    }
    throw failure.value_or(Core::Error(Core::ErrorKind::NoUpstream));
}

asio::awaitable<void> ServiceRelay::runAtMostOnce()
{
    const auto &headers = m_exchange.request().headers;
    const auto key = Claims::parseClaimKey(m_context.team->id, headers.find("Idempotency-Key"),
                                           headers.find("Idempotency-Issued-At"))
                         .value();
    rejectEarly(key);
    const auto slot = co_await admitKeyed(key);
    Claims::Call call;
    call.key = key;
    call.digest = digest();
    Claims::ClaimCoordinator::SendOnce sendOnce = [instance = &m_instance, request = m_call] {
        return sendServiceCallOnce(*instance, request);
    };
    auto outcome = co_await m_instance.claims()->run(std::move(call), std::move(sendOnce));
    co_await answer(std::move(outcome));
}

void ServiceRelay::rejectEarly(const Claims::ClaimKey &key) const
{
    const auto &claims = *m_instance.claims();
    if (m_instance.isDraining())
        throw claims.earlyRejection(Core::ErrorKind::Draining, key);
    if (m_instance.clock().wallNow() - key.issuedAt > m_service.keyWindow)
        throw claims.earlyRejection(Core::ErrorKind::KeyExpired, key);
}

asio::awaitable<AdmissionSlot> ServiceRelay::admitKeyed(Claims::ClaimKey key)
{
    std::optional<Core::ErrorKind> refusal;
    try {
        co_return co_await awaitAdmission(m_instance, ticket(), m_exchange);
    } catch (const Core::Error &error) {
        refusal = error.kind();
    }
    throw m_instance.claims()->earlyRejection(*refusal, key);
}

asio::awaitable<void> ServiceRelay::answer(Claims::Outcome outcome)
{
    if (!outcome.answer) {
        throw Core::Error(outcome.error.value_or(Core::ErrorKind::Internal), {}, outcome.attempt,
                          outcome.key);
    }
    Http::Response response;
    response.status = outcome.answer->httpStatus;
    if (!outcome.answer->contentType.empty())
        response.headers.add("Content-Type", outcome.answer->contentType);
    if (outcome.replayed)
        response.headers.add("Idempotency-Replayed", "true");
    response.body = outcome.answer->body;
    co_await m_exchange.respond(std::move(response));
}

std::uint64_t ServiceRelay::digest() const
{
    const auto seed = Core::hash64(m_call.request.target, Core::hash64(m_call.request.method));
    return Core::hash64(m_call.request.body, seed);
}

} // namespace Router
