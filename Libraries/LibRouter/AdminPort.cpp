#include <LibRouter/AdminPort.h>
#include <LibRouter/CompletionCall.h>

#include <boost/json.hpp>

#include <random>

namespace Router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;

Http::Response textResponse(std::string text)
{
    Http::Response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(text);
    return response;
}

json::object describe(const Upstream &upstream)
{
    json::object entry;
    entry["id"] = upstream.id().value();
    entry["group"] = upstream.group().value();
    entry["data_centre"] = upstream.dataCentre().value();
    entry["address"] = Http::formatEndpoint(upstream.endpoint());
    entry["incarnation"] = upstream.incarnation();
    entry["leaving"] = upstream.isLeaving();
    entry["suspected"] = upstream.isSuspected();
    entry["in_flight"] = upstream.inFlight();
    return entry;
}

json::object describe(const Placement::Explanation::Row &row)
{
    json::object terms;
    terms["upstream"] = row.upstream.value();
    terms["cached_tokens"] = row.terms.expectedCachedTokens;
    terms["home"] = row.terms.isPreferred;
    terms["excluded"] = row.terms.isExcluded;
    terms["queue_wait_s"] = row.terms.queueWait.count();
    terms["prefill_s"] = row.terms.prefill.count();
    terms["slowness"] = row.terms.slowness;
    terms["stall_s"] = row.terms.stall.count();
    terms["preference_s"] = row.terms.preference.count();
    terms["total_s"] = row.terms.total.count();
    return terms;
}

std::string fieldOf(const json::object &body, std::string_view name)
{
    const auto *value = body.if_contains(name);
    if (!value || !value->is_string())
        throw Core::Error(Core::ErrorKind::MalformedRequest,
                          "the field '" + std::string(name) + "' is missing");
    return std::string(value->get_string());
}

} // namespace

AdminPort::AdminPort(Instance &instance)
    : m_instance(instance)
{ }

void AdminPort::setUsageHook(std::function<asio::awaitable<json::object>()> hook)
{
    m_usageHook = std::move(hook);
}

void AdminPort::setStatusHook(std::function<void(json::object &)> hook)
{
    m_statusHook = std::move(hook);
}

asio::awaitable<void> AdminPort::handle(Http::ServerExchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/healthz")
        co_return co_await exchange.respond(textResponse("ok\n"));
    if (path == "/readyz") {
        if (!m_instance.isReady())
            throw Core::Error(m_instance.isDraining() ? Core::ErrorKind::Draining
                                                      : Core::ErrorKind::NotReady);
        co_return co_await exchange.respond(textResponse("ready\n"));
    }
    if (path == "/metrics")
        co_return co_await exchange.respond(textResponse(m_instance.metrics().render()));
    if (path == "/status")
        co_return co_await exchange.respond(
            Http::jsonResponse(StatusOk, json::serialize(status())));
    if (path == "/explain" && request.method == "POST")
        co_return co_await exchange.respond(
            Http::jsonResponse(StatusOk, json::serialize(explain(request.body))));
    if (path == "/usage" && m_usageHook) {
        const auto usage = co_await m_usageHook();
        co_return co_await exchange.respond(Http::jsonResponse(StatusOk, json::serialize(usage)));
    }
    if (path == "/drain" && request.method == "POST") {
        m_instance.drain();
        co_return co_await exchange.respond(Http::jsonResponse(StatusOk, "{}"));
    }
    throw Core::Error(Core::ErrorKind::UnknownRoute);
}

json::object AdminPort::status() const
{
    const auto configuration = m_instance.configuration();
    json::array upstreams;
    for (const auto &upstream : m_instance.directory().all())
        upstreams.push_back(describe(*upstream));
    json::object answer;
    answer["instance"] = m_instance.settings().instance.value();
    answer["data_centre"] = m_instance.settings().dataCentre.value();
    answer["environment"] = m_instance.settings().environment;
    answer["incarnation"] = m_instance.settings().incarnation;
    answer["version"] = JUJUBE_VERSION;
    answer["ready"] = m_instance.isReady();
    answer["draining"] = m_instance.isDraining();
    answer["generation"] = configuration.generation;
    answer["upstreams"] = std::move(upstreams);
    if (m_statusHook)
        m_statusHook(answer);
    return answer;
}

json::object AdminPort::explain(const std::string &body) const
{
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
        throw Core::Error(Core::ErrorKind::MalformedRequest, "the body is not a JSON object");
    const auto document = m_instance.configuration().document;
    if (!document)
        throw Core::Error(Core::ErrorKind::NotReady);
    const auto *model = document->model(fieldOf(parsed.get_object(), "model"));
    if (!model)
        throw Core::Error(Core::ErrorKind::UnknownModel);
    const Placement::CacheScope scope {Core::TeamId(fieldOf(parsed.get_object(), "team")),
                                       model->id, model->weightsVersion};
    const auto blocks =
        Placement::PromptBlocks::create(scope, fieldOf(parsed.get_object(), "prompt"));
    const auto group = m_instance.directory().group(model->upstreamGroup);
    json::array rows;
    if (group.candidates) {
        Placement::Explanation explanation;
        std::mt19937_64 rng(std::random_device {}());
        (void)m_instance.placement().choose({blocks, {}, {}}, *group.candidates, rng, &explanation);
        for (const auto &row : explanation.rows)
            rows.push_back(describe(row));
    }
    json::object answer;
    answer["prompt_tokens"] = blocks.promptTokens();
    answer["candidates"] = std::move(rows);
    return answer;
}

} // namespace Router
