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

/// Determines which requests of a route may be retried after a failed attempt.
enum class RequestKind {
    /// Idempotent: may be executed any number of times.
    Repeatable,
    /// May be executed at most once.
    Once,
    /// Answered by an event stream; may be executed again only if the route is resumable.
    Stream,
};

/// A service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService
{
    std::string service;
    unsigned weight = 1;
};

/// Maps requests of a host and path prefix to services, and sets their limits and targets.
struct Route
{
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Once;
    /// The maximum time until the request is complete.
    std::chrono::milliseconds timeout {30'000};
    /// The target time to the answer, or to the first event of a stream.
    std::chrono::milliseconds target {1'000};
    /// The target for the longest pause between two events of a stream.
    std::chrono::milliseconds gapTarget {1'000};
    /// 0 is the most urgent.
    int priority = 5;
    unsigned maxAttempts = 1;
    bool isPublic = false;
    bool isResumable = false;
    std::vector<WeightedService> services;

    /// Returns whether the request may be retried after an attempt that may have been executed.
    bool mayRunAgain() const;
};

/// The configured capacity of each engine of a service.
struct EngineLimits
{
    unsigned slots = 1;
    /// KV cache memory of one engine, in tokens.
    std::uint64_t cacheTokens = 0;
    std::uint64_t bytesPerToken = 0;
    /// The rate at which an engine sends or receives cached parts.
    double linkMegabitsPerSecond = 0;
};

/// A group of interchangeable upstreams.
struct Service
{
    std::string name;
    /// The connection limit of one upstream, shared by all instances.
    unsigned maxConnections = 64;
    std::optional<EngineLimits> engine;
    /// The address of a KV cache store; a service that has one has no upstreams.
    std::optional<Http::Endpoint> kvCacheStore;
    std::uint64_t kvCacheStoreTokens = 0;
    std::string kvCacheStoreDataCentre;
    /// The speed of the KV cache store's link, which all transfers share; 0 if unknown.
    double kvCacheStoreLinkMegabits = 0;
};

/// A team and its API keys.
struct Tenant
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Whether the team shares no cached prompt parts with other teams.
    bool isIsolated = false;
    /// The usage cap over all instances, in units a second and at once; zero if there is none.
    double unitsPerSecond = 0;
    double unitBurst = 0;
    /// Whether a unit is a token rather than a request, and the tokens that a request without a
    /// prompt counts as.
    bool isCappedByTokens = false;
    unsigned plainTokens = 1;
};

/// A route that the configuration has and that could not be read. What is not known of the requests
/// that it is for is empty.
struct UnreadableRoute
{
    std::optional<std::string> host;
    std::optional<std::string> pathPrefix;
};

/// Limits on the size and timing of callers' requests.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTime {10'000};
    std::chrono::milliseconds idleTime {60'000};
};

/// One complete version of the configuration with its lookup indexes.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<UnreadableRoute> unreadableRoutes;
    std::map<std::string, Service> services;
    std::vector<Tenant> tenants;
    /// Whether requests need a key on routes that are not public. The list of tenants may be empty
    /// nevertheless, and then no key is known.
    bool requiresKeys = false;
    CallerLimits limits;

    /// Builds the indexes for the lookups below. Must be called once, after the fields are set.
    void buildIndexes();
    /// Returns the route of the host (ignoring the port) whose path prefix is the longest match;
    /// null if none matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns whether an unreadable route may be that of the request rather than the one that
    /// findRoute() returned.
    bool isUnreadable(std::string_view host, std::string_view path, const Route *found) const;
    const Tenant *findTenant(std::string_view key) const;
    const Service *findService(const std::string &name) const;
    /// Returns the name of the cache scope of a tenant's requests, or of those without a tenant if
    /// it is null. Only requests of the same scope share cached prompt parts.
    std::string cacheScope(const Tenant *tenant) const;

private:
    std::string m_sharedCacheScope = "shared";
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_tenantByKey;
};

} // namespace Gateway
