#include <LibCore/EventLog.h>
#include <LibGateway/MemoryAdmission.h>

#include <algorithm>

namespace Gateway {

using namespace std::chrono_literals;
using std::chrono::ceil;
using std::chrono::milliseconds;

namespace {

constexpr auto MinRetryAfter = 100ms;

} // namespace

bool exceedsEngines(const Gateway &gateway, const AcceptedRequest &request,
                    const std::string &service)
{
    if (!gateway.dependencies().settings.limitsEngineMemory || request.caller.model.empty())
        return false;
    const auto *found = request.configuration->findService(service);
    return found && found->engine
           && Capacity::EngineMemory::isTooLarge(found->engine->cacheTokens,
                                                 request.promptTokens());
}

Refusal refuseTooLarge(const AcceptedRequest &request)
{
    return {Core::ErrorKind::Overloaded,
            "the prompt's " + std::to_string(request.promptTokens())
                + " tokens exceed the memory of all engines",
            std::nullopt, std::nullopt, "prompt_too_large"};
}

Refusal refuseForMemory(const std::string &service, EngineModel::Milliseconds expectedWait)
{
    const auto wait = ceil<milliseconds>(expectedWait);
    return {Core::ErrorKind::Overloaded,
            "the engines of service " + service + " are expected to have memory in "
                + std::to_string(wait.count()) + " ms",
            std::max<milliseconds>(MinRetryAfter, wait),
            Capacity::WaitingOutlook {.wait = expectedWait, .excess = expectedWait},
            "engine_memory"};
}

std::optional<Refusal> refuseIfFull(Gateway &gateway, const AcceptedRequest &request,
                                    const RequestPlan &plan)
{
    const auto *service = request.configuration->findService(plan.service);
    if (!gateway.dependencies().settings.limitsEngineMemory || !plan.engine || !service
        || !service->engine)
        return std::nullopt;
    const Capacity::EngineContents engine {plan.upstream->allMemoryTokens(),
                                           service->engine->cacheTokens};
    const Capacity::MemoryDemand demand {request.promptTokens(), request.memoryTokens()};
    const auto decision = gateway.engineMemory(plan.service).decide(engine, demand, false);
    if (decision.verdict == Capacity::MemoryVerdict::Send)
        return std::nullopt;
    return refuseForMemory(plan.service, decision.wait);
}

void noteMemoryRefusal(Gateway &gateway, const AcceptedRequest &request, const Refusal &refusal)
{
    if (refusal.memoryCause.empty())
        return;
    const std::string cause(refusal.memoryCause);
    gateway.metrics().memoryRefusals.add(1, request.labels(), cause);
    Core::logEvent(Core::EventId::MemoryLimited,
                   {{"request", request.caller.attemptId},
                    {"cause", cause},
                    {"prompt_tokens", std::to_string(request.promptTokens())},
                    {"memory_tokens", std::to_string(request.memoryTokens())}});
}

void noteUnreadDropped(Gateway &gateway, bool isRepeatable, std::chrono::nanoseconds unread)
{
    gateway.metrics().memoryRefusals.add(1, {}, "unread_answer");
    Core::logEvent(Core::EventId::MemoryLimited,
                   {{"cause", "unread_answer"},
                    {"repeatable", isRepeatable ? "true" : "false"},
                    {"unread_ms", std::to_string(ceil<milliseconds>(unread).count())}});
}

} // namespace Gateway
