#pragma once

#include <LibCore/Error.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/RequestDialect.h>
#include <LibMetrics/Labels.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

class Gateway;

/// Why this instance does not serve a request.
struct Refusal
{
    Core::ErrorKind kind = Core::ErrorKind::NoUpstream;
    std::string reason;
    /// When the caller may come back; none when that would not help.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// A caller's request as this instance understands it: what it asks for, and the route and team
/// that a version of the configuration gives it.
struct AcceptedRequest
{
    CallerRequest caller;
    Core::Clock::Monotonic arrival;
    Core::Clock::Monotonic deadline = Core::Clock::Monotonic::max();
    /// The version that route and tenant belong to; null before one was known.
    ConfigurationState::Version configuration;
    const Route *route = nullptr;
    const Tenant *tenant = nullptr;
    std::vector<PromptPart> parts;
    /// Equal for all attempts of one request.
    std::uint64_t digest = 0;

    /// Reads the caller's words. Returns why not, when they are malformed.
    std::optional<Refusal> decode(const RequestDialect &dialect, const Http::Request &request);
    /// Finds route and team in the configuration in force. Returns why the request is not allowed,
    /// or not known to be.
    std::optional<Refusal> authorize(Gateway &gateway, const Http::Request &request);

    std::chrono::milliseconds remainingTime(Core::Clock::Monotonic now) const;
    /// Requests share cached prompt parts only under the same name.
    std::string cacheScope() const;
    /// Tokens of an engine's memory that the request is expected to hold.
    std::uint64_t memoryTokens() const;
    unsigned promptTokens() const;
    /// Tokens of the prompt's parts that other requests share.
    unsigned sharedTokens() const;
    std::string tenantName() const { return tenant ? tenant->name : ""; }
    Metrics::Labels labels() const;
};

} // namespace Gateway
