#include <LibRouter/CallContext.h>

namespace Router {

namespace {

std::string_view bearerKey(const Http::Request &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto value = request.headers.find("Authorization").value_or("");
    if (!Http::equalIgnoringCase(value.substr(0, Scheme.size()), Scheme))
        throw Core::Error(Core::ErrorKind::Unauthenticated,
                          "the request has no Authorization header with a bearer key");
    return value.substr(Scheme.size());
}

} // namespace

Metrics::Labels CallContext::labels() const
{
    Metrics::Labels labels;
    if (team)
        labels.team = team->id.value();
    if (priorityClass)
        labels.priorityClass = priorityClass->id.value();
    return labels;
}

CallContext authenticate(Instance &instance, const Http::Request &request)
{
    CallContext context;
    context.arrivedAt = instance.clock().now();
    context.requestId = instance.nextRequestId();
    context.document = instance.configuration().document;
    if (!context.document)
        throw Core::Error(Core::ErrorKind::NotReady);
    context.team = context.document->teamByKey(bearerKey(request));
    if (!context.team)
        throw Core::Error(Core::ErrorKind::Unauthenticated);
    return context;
}

void authorise(CallContext &context, const Core::UpstreamGroupId &group,
               const Http::Request &request)
{
    context.contract = context.document->contract(context.team->id, group);
    if (!context.contract)
        throw Core::Error(Core::ErrorKind::Forbidden);
    const auto requestedClass = request.headers.find("X-Priority-Class");
    const auto id = requestedClass ? Core::PriorityClassId(std::string(*requestedClass))
                                   : context.contract->defaultClass;
    if (!context.contract->allows(id))
        throw Core::Error(Core::ErrorKind::Forbidden,
                          "the contract does not allow the priority class '" + id.value() + "'");
    context.priorityClass = context.document->priorityClass(id.value());
}

} // namespace Router
