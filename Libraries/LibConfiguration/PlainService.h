#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

enum class Repeatability {
    /// The call can be retried after a failure.
    Idempotent,
    /// The call requires an idempotency key and is sent to an upstream at most once.
    AtMostOnce,
};

/// The calls of a plain service that share a method and a path prefix.
struct ServiceRoute
{
    std::string method;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
};

/// A plain service that callers reach under /services/NAME.
struct PlainService
{
    std::string name;
    Core::UpstreamGroupId upstreamGroup;
    /// How long an idempotency key is remembered after its issue time.
    std::chrono::seconds keyWindow {0};
    /// The maximum time for one call.
    std::chrono::milliseconds timeout {0};
    std::vector<ServiceRoute> routes;

    /// Returns the route with the longest matching prefix of whole path segments, or null. The path
    /// starts with a slash and has no query. A path that an upstream could interpret as a different
    /// one (dot segments, empty segments, escaped dots or slashes) has no route, so that no call
    /// can bypass its at-most-once route.
    const ServiceRoute *route(std::string_view method, std::string_view path) const;
};

} // namespace Configuration
