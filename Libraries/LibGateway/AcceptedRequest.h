#pragma once

#include <LibCapacity/WaitingRoom.h>
#include <LibCore/Error.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/RequestDialect.h>
#include <LibMetrics/Labels.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

class Gateway;

/// The error that is returned to the caller when this instance does not forward a request.
struct Refusal
{
    Core::ErrorKind kind = Core::ErrorKind::NoUpstream;
    std::string reason;
    /// When the caller may retry; empty if a retry would not help.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Set if the request was refused for want of capacity, so that it may be queued instead.
    std::optional<Capacity::WaitingOutlook> shortage;
    /// What memory was lacking, for metrics and log; empty for other reasons.
    std::string_view memoryCause = {};
};

/// What the division of engines among teams has counted of a request, which is planned several
/// times.
struct TeamCounts
{
    bool isAsked = false;
    bool isSent = false;
    /// Whether the log has the reason for which the request was held back.
    bool isLogged = false;
};

/// A decoded request together with the route and tenant that one version of the configuration
/// assigns to it.
struct AcceptedRequest
{
    CallerRequest caller;
    Core::Clock::Monotonic arrival;
    Core::Clock::Monotonic deadline = Core::Clock::Monotonic::max();
    /// The version that owns route and tenant; null until the first configuration has been read.
    ConfigurationState::Version configuration;
    const Route *route = nullptr;
    const Tenant *tenant = nullptr;
    std::vector<PromptPart> parts;
    /// Whether the caller was refused before and has returned.
    bool isReturning = false;
    /// How long a caller that has returned had waited when the request arrived.
    std::chrono::milliseconds timeSpentBefore {0};
    /// Identifies the request in the poison table; equal for all attempts of one request.
    std::uint64_t digest = 0;
    /// Hashes of the ids of the prompt's parts, without the last one, which is specific to it.
    std::vector<std::uint64_t> partHashes;
    /// What crashed upstreams and this request may try again: itself, or a part of its prompt.
    std::optional<std::uint64_t> triedCause;
    mutable TeamCounts teamCounts;

    /// Decodes the request. Returns a refusal if it is malformed.
    std::optional<Refusal> decode(const RequestDialect &dialect, const Http::Request &request);
    /// Looks up route and tenant in the current configuration. Returns a refusal if the request is
    /// not allowed, or if the configuration may be too old to decide.
    std::optional<Refusal> authorize(Gateway &gateway, const Http::Request &request);

    /// Returns what crashes upstreams, the request or a part of its prompt, unless it may try that.
    std::optional<std::uint64_t> poisonCause(Gateway &gateway) const;

    std::chrono::milliseconds remainingTime(Core::Clock::Monotonic now) const;
    /// Returns the name of the cache scope. Only requests of the same scope share cached prompt
    /// parts.
    std::string cacheScope() const;
    /// Returns the number of tokens of engine memory that the request is expected to occupy.
    std::uint64_t memoryTokens() const;
    /// Returns how much of its team's usage cap the request uses; 0 if there is no cap.
    double quotaUnits() const;
    unsigned promptTokens() const;
    /// Returns the number of tokens in the prompt parts that other requests may share.
    unsigned sharedTokens() const;
    std::string tenantName() const { return tenant ? tenant->name : ""; }
    Metrics::Labels labels() const;

private:
    /// Returns a refusal if the request, or a part of its prompt, is known to crash upstreams.
    std::optional<Refusal> refusePoison(Gateway &gateway);
};

} // namespace Gateway
