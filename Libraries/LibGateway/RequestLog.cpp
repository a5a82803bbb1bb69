#include <LibCore/EventLog.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestLog.h>
#include <LibGateway/RequestQueue.h>
#include <LibGateway/RequestWait.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace Gateway {

namespace {

constexpr double Percent = 100;
// Keeps the line of a prompt with many parts short.
constexpr std::size_t MaxLoggedParts = 32;

template <typename Duration>
std::string formatMilliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

template <typename Number>
std::string formatInteger(Number number)
{
    return std::to_string(static_cast<std::uint64_t>(number));
}

} // namespace

void logRefusal(const Gateway &gateway, const AcceptedRequest &request, const Refusal &refusal)
{
    const auto &dependencies = gateway.dependencies();
    Core::logEvent(
        Core::EventId::RequestRefused,
        {{"request", request.caller.attemptId},
         {"route", request.route ? request.route->name : ""},
         {"tenant", request.tenantName()},
         {"kind", std::string(Core::errorKindRow(refusal.kind).name)},
         {"reason", refusal.reason},
         {"configuration",
          request.configuration ? std::to_string(request.configuration->version) : "none"},
         {"age_ms", formatMilliseconds(dependencies.configuration.age(dependencies.clock.now()))}});
}

void logCapacityRefusal(Gateway &gateway, const AcceptedRequest &request,
                        const Capacity::WaitingOutlook &outlook, std::chrono::nanoseconds waited,
                        std::optional<std::chrono::milliseconds> retryAfter)
{
    const auto &dependencies = gateway.dependencies();
    const auto now = dependencies.clock.now();
    // The upstream whose load is known the longest determines how old the expected wait may be.
    auto loadKnownAt = now;
    for (const auto &service : request.route->services)
        for (const auto &upstream : dependencies.fleet.members(service.service))
            loadKnownAt = std::min(loadKnownAt, upstream->loadKnownAt());
    const bool isLoadKnown = loadKnownAt != Core::Clock::Monotonic::min();
    Core::logEvent(
        Core::EventId::CapacityRefused,
        {{"request", request.caller.attemptId},
         {"route", request.route->name},
         {"tenant", request.tenantName()},
         {"wait_ms", formatMilliseconds(outlook.wait)},
         {"own_ms", formatMilliseconds(outlook.ownTime)},
         {"excess_ms", formatMilliseconds(outlook.excess)},
         {"left_ms", formatMilliseconds(request.remainingTime(now))},
         {"returning", request.isReturning ? "true" : "false"},
         {"team_use_percent", formatInteger(teamUseOf(gateway, request) * Percent)},
         {"waited_ms", formatMilliseconds(waited)},
         {"waiting", std::to_string(gateway.queue().room().size())},
         {"promised_ms", formatMilliseconds(gateway.queue().returns().promisedWork(now))},
         {"retry_after_ms", retryAfter ? formatMilliseconds(*retryAfter) : "none"},
         {"list_age_ms", formatMilliseconds(dependencies.fleet.age(now))},
         {"load_age_ms", isLoadKnown ? formatMilliseconds(now - loadKnownAt) : "unknown"}});
}

void logServed(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
               const RequestProgress &progress)
{
    const auto now = gateway.dependencies().clock.now();
    const EngineChoice none;
    const auto &engine = plan.engine ? *plan.engine : none;
    Core::logEvent(
        Core::EventId::RequestServed,
        {{"request", request.caller.attemptId},
         {"route", request.route->name},
         {"tenant", request.tenantName()},
         {"upstream", plan.upstream->report().id.value()},
         {"sends", std::to_string(progress.sends)},
         {"list_age_ms", formatMilliseconds(progress.listAge)},
         {"took_ms", formatMilliseconds(now - request.arrival)},
         {"first_ms", formatMilliseconds(progress.firstByte.value_or(now) - request.arrival)},
         {"pause_ms", formatMilliseconds(progress.longestPause)},
         {"expected_ms", formatMilliseconds(engine.expectedFirstToken)},
         {"ready_tokens", std::to_string(engine.readyTokens)},
         {"kept_tokens", std::to_string(engine.cachedTokens)},
         {"shared_tokens", std::to_string(request.sharedTokens())},
         {"prompt_tokens", std::to_string(request.caller.promptTokens)},
         {"weights", std::to_string(progress.weights)},
         {"weights_outdated_ms", formatMilliseconds(progress.weightsOutdatedFor)},
         {"source", plan.fetchSource()},
         {"tokens_per_ms", formatInteger(gateway.engineModel(plan.service).tokensPerMillisecond())},
         {"slowness_percent", formatInteger(plan.upstream->slowness() * Percent)}});
}

void logAttempt(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
                const RequestProgress &progress, std::string_view end, const std::string &reason)
{
    gateway.metrics().attempts.add(1, request.labels(), std::string(end));
    Core::logEvent(Core::EventId::AttemptFailed,
                   {{"request", request.caller.attemptId},
                    {"upstream", plan.upstream->report().id.value()},
                    {"end", std::string(end)},
                    {"reason", reason},
                    {"weights", std::to_string(plan.weights)},
                    {"send", std::to_string(progress.sends)},
                    {"list_age_ms", formatMilliseconds(progress.listAge)},
                    {"left_ms", formatMilliseconds(
                                    request.remainingTime(gateway.dependencies().clock.now()))}});
}

void logRetry(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
              bool isAllowed)
{
    const std::string outcome = isAllowed ? "allowed" : "refused";
    gateway.metrics().retries.add(1, request.labels(), outcome);
    const auto use = gateway.retryUse(plan.service);
    Core::logEvent(Core::EventId::RetryDecided,
                   {{"request", request.caller.attemptId},
                    {"service", plan.service},
                    {"outcome", outcome},
                    {"repeats", std::to_string(use.repeats)},
                    {"limit", formatInteger(use.limit)},
                    {"instances", std::to_string(gateway.instanceCount().value_or(0))}});
}

void logCasualty(const AcceptedRequest &request, const Core::UpstreamId &engine,
                 std::chrono::milliseconds startTime, const Casualty &casualty)
{
    std::string parts;
    const auto logged = std::min(casualty.parts.size(), MaxLoggedParts);
    for (std::size_t n = 0; n < logged; ++n)
        parts += (n > 0 ? "," : "") + formatHash(casualty.parts[n]);
    Core::logEvent(Core::EventId::PoisonSuspected,
                   {{"request", request.caller.attemptId},
                    {"upstream", engine.value()},
                    {"start_ms", std::to_string(startTime.count())},
                    {"crash", formatHash(casualty.crash)},
                    {"digest", formatHash(casualty.request)},
                    {"begun", casualty.hasBegun ? "true" : "false"},
                    {"parts", parts},
                    {"part_count", std::to_string(casualty.parts.size())}});
}

std::string formatHash(std::uint64_t hash)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
    return text.data();
}

} // namespace Gateway
