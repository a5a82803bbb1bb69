#include <LibCore/EventLog.h>
#include <LibRouter/CompletionRelay.h>
#include <LibRouter/RequestRouter.h>
#include <LibRouter/ServiceRelay.h>

#include <boost/json.hpp>

namespace Router {

namespace asio = boost::asio;

namespace {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Sets the execution status of the key to unknown when a call with an idempotency key is refused
/// before the claims are consulted.
Core::Error withKeyExecutionStatus(const Core::Error &error, const Http::Request &request)
{
    if (error.key() || !request.headers.find("Idempotency-Key"))
        return error;
    return Core::Error(error.kind(), error.detail(), error.attempt(),
                       Core::ExecutionStatus::Unknown);
}

} // namespace

RequestRouter::RequestRouter(Instance &instance)
    : m_instance(instance)
{ }

asio::awaitable<void> RequestRouter::handle(Http::ServerExchange &exchange)
{
    std::optional<Core::Error> refusal;
    try {
        co_await route(exchange);
    } catch (const Core::Error &error) {
        refusal = withKeyExecutionStatus(error, exchange.request());
    }
    if (!refusal)
        co_return;
    const std::string kind(Core::errorKindRow(refusal->kind()).name);
    m_instance.metrics().refusals.add(1, {}, kind);
    Core::logEvent(Core::EventId::RequestRefused, {{"kind", kind}, {"detail", refusal->detail()}});
    if (!exchange.hasStarted())
        co_await exchange.respond(Http::errorResponse(*refusal));
}

asio::awaitable<void> RequestRouter::route(Http::ServerExchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = pathOf(request.target);
    if (request.method == "POST" && path == "/v1/chat/completions")
        co_return co_await complete(exchange, true);
    if (request.method == "POST" && path == "/v1/completions")
        co_return co_await complete(exchange, false);
    if (request.method == "GET" && path == "/v1/models")
        co_return co_await listModels(exchange);
    if (path.starts_with("/services/"))
        co_return co_await callService(exchange);
    throw Core::Error(Core::ErrorKind::UnknownRoute);
}

asio::awaitable<void> RequestRouter::complete(Http::ServerExchange &exchange, bool chat)
{
    refuseWhenDraining();
    auto context = authenticate(m_instance, exchange.request());
    const auto kind = chat ? CompletionCall::Kind::Chat : CompletionCall::Kind::Completion;
    auto call = CompletionCall::parse(kind, exchange.request().body).value();
    const auto *model = context.document->model(call.model());
    if (!model)
        throw Core::Error(Core::ErrorKind::UnknownModel);
    authorise(context, model->upstreamGroup, exchange.request());
    CompletionRelay relay(m_instance, exchange, std::move(context), std::move(call), *model);
    co_await relay.run();
}

asio::awaitable<void> RequestRouter::listModels(Http::ServerExchange &exchange)
{
    const auto context = authenticate(m_instance, exchange.request());
    boost::json::array models;
    for (const auto &model : context.document->models()) {
        if (!context.document->contract(context.team->id, model.upstreamGroup))
            continue;
        boost::json::object entry;
        entry["id"] = model.id.value();
        entry["object"] = "model";
        models.push_back(std::move(entry));
    }
    boost::json::object answer;
    answer["object"] = "list";
    answer["data"] = std::move(models);
    co_await exchange.respond(Http::jsonResponse(200, boost::json::serialize(answer)));
}

asio::awaitable<void> RequestRouter::callService(Http::ServerExchange &exchange)
{
    auto context = authenticate(m_instance, exchange.request());
    auto target = ServiceTarget::parse(exchange.request().target);
    const auto *service = context.document->service(target.name);
    if (!service)
        throw Core::Error(Core::ErrorKind::UnknownService);
    const auto *route = service->route(exchange.request().method, target.path());
    if (!route)
        throw Core::Error(Core::ErrorKind::UnknownRoute);
    authorise(context, service->upstreamGroup, exchange.request());
    ServiceRelay relay(m_instance, exchange, std::move(context), *service, target);
    if (route->repeatability == Configuration::Repeatability::AtMostOnce)
        co_return co_await relay.runAtMostOnce();
    refuseWhenDraining();
    co_await relay.runIdempotent();
}

void RequestRouter::refuseWhenDraining() const
{
    if (m_instance.isDraining())
        throw Core::Error(Core::ErrorKind::Draining);
}

} // namespace Router
