#include <LibRouter/ServiceRelay.h>
#include <LibRouter/ThreadRandom.h>

#include <algorithm>
#include <array>

namespace Router {

namespace asio = boost::asio;

namespace {

/// Headers that belong to one connection, or that carry the caller's secret.
bool mayForward(std::string_view name)
{
    constexpr std::array<std::string_view, 9> Dropped {
        "Connection", "Keep-Alive",     "Transfer-Encoding", "TE",     "Upgrade",
        "Host",       "Content-Length", "Authorization",     "Expect",
    };
    return std::none_of(Dropped.begin(), Dropped.end(), [name](std::string_view dropped) {
        return Http::equalIgnoringCase(name, dropped);
    });
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
                           const Configuration::PlainService &service, ServiceTarget target)
    : m_instance(instance)
    , m_exchange(exchange)
    , m_context(std::move(context))
    , m_service(service)
    , m_target(std::move(target))
{ }

asio::awaitable<void> ServiceRelay::runIdempotent()
{
    std::vector<UpstreamPtr> tried;
    std::optional<Core::Error> failure;
    while (tried.size() < m_instance.settings().attempts) {
        const auto upstream = choose(tried);
        if (!upstream)
            break;
        try {
            auto response = co_await send(upstream, Http::ConnectionUse::KeptOrNew);
            upstream->circuit().noteSuccess();
            co_await m_exchange.respond(std::move(response));
            co_return;
        } catch (const Core::Error &error) {
            failure = error;
            upstream->circuit().noteFailure(m_instance.clock().now(), threadRandom());
        }
        tried.push_back(upstream);
    }
    throw failure.value_or(Core::Error(Core::ErrorKind::NoUpstream));
}

UpstreamPtr ServiceRelay::choose(const std::vector<UpstreamPtr> &tried) const
{
    UpstreamPtr best;
    const auto cost = [](const Upstream &upstream) {
        return std::pair(upstream.isSuspected(), upstream.inFlight());
    };
    for (const auto &upstream : m_instance.directory().group(m_service.upstreamGroup).upstreams) {
        if (upstream->isLeaving() || std::find(tried.begin(), tried.end(), upstream) != tried.end())
            continue;
        if (!best || cost(*upstream) < cost(*best))
            best = upstream;
    }
    return best;
}

Http::Request ServiceRelay::upstreamRequest() const
{
    const auto &incoming = m_exchange.request();
    Http::Request request(incoming.method, m_target.rest, {}, incoming.body);
    for (const auto &field : incoming.headers) {
        if (mayForward(field.name))
            request.headers.add(field.name, field.value);
    }
    request.headers.add("X-Team", m_context.team->id.value());
    request.headers.add("X-Request-Id", m_context.requestId);
    return request;
}

asio::awaitable<Http::Response> ServiceRelay::send(UpstreamPtr upstream, Http::ConnectionUse use)
{
    Http::ClientTimeouts timeouts;
    timeouts.connect = m_instance.settings().connectTimeout;
    timeouts.head = m_service.timeout;
    timeouts.body = m_service.timeout;
    upstream->addInFlight();
    std::exception_ptr failure;
    Http::Response response;
    try {
        auto request = upstreamRequest();
        response =
            co_await m_instance.client().fetch(upstream->endpoint(), std::move(request), timeouts,
                                               Http::Client::DefaultBodyLimit, use);
    } catch (...) {
        failure = std::current_exception();
    }
    upstream->removeInFlight();
    if (failure)
        std::rethrow_exception(failure);
    Http::Headers headers;
    for (const auto &field : response.headers) {
        if (mayForward(field.name))
            headers.add(field.name, field.value);
    }
    response.headers = std::move(headers);
    co_return response;
}

} // namespace Router
