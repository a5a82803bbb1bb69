#pragma once

#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// What a route's requests allow when an attempt fails.
enum class RequestKind {
    /// May run any number of times.
    Repeatable,
    /// May run at most once.
    Once,
    /// Answers with a stream of events; may run again only where the route allows resuming.
    Stream,
};

/// One of the services that share a route's requests.
struct WeightedService
{
    std::string service;
    unsigned weight = 1;
};

/// Where requests of a host below a path go, and what they may expect.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Once;
    /// The longest time a caller is kept waiting.
    std::chrono::milliseconds timeout {30'000};
    /// The time to the answer, or to a stream's first event, that callers want.
    std::chrono::milliseconds target {1'000};
    /// The longest pause between events that callers want.
    std::chrono::milliseconds gapTarget {1'000};
    /// 0 is served first.
    int priority = 5;
    unsigned maxAttempts = 1;
    bool isPublic = false;
    bool isResumable = false;
    std::vector<WeightedService> services;

    /// Whether an attempt whose outcome is unknown may be followed by another.
    bool mayRunAgain() const;
};

/// What the operator says of the engines of a service.
struct EngineLimits
{
    unsigned slots = 1;
    /// Memory of one engine, in tokens.
    std::uint64_t cacheTokens = 0;
    std::uint64_t bytesPerToken = 0;
    /// The speed at which an engine sends or takes in cached parts.
    double linkMegabitsPerSecond = 0;
};

/// Interchangeable upstreams.
struct Service
{
    std::string name;
    /// Connections that one upstream accepts from all instances together.
    unsigned maxConnections = 64;
    std::optional<EngineLimits> engine;
    /// The address of a store of cached prompt parts; such a service has no upstreams.
    std::optional<Http::Endpoint> kvCacheStore;
    std::uint64_t kvCacheStoreTokens = 0;
};

/// A team that calls with keys of its own.
struct Tenant
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over a route's priority.
    std::optional<int> priority;
    /// Shares no cached prompt part with any other team.
    bool isIsolated = false;
};

/// What a caller may send and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTime {10'000};
    std::chrono::milliseconds idleTime {60'000};
};

/// One version of the configuration, whole, with its indexes.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::vector<Tenant> tenants;
    CallerLimits limits;

    /// Builds the indexes that the look-ups below use. To be called once, after the fields are set.
    void buildIndexes();
    /// The route of the host (a port is ignored) with the longest prefix that begins the path.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Tenant *findTenant(std::string_view key) const;
    const Service *findService(const std::string &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_tenantByKey;
};

} // namespace Gateway
