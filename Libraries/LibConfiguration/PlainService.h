#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

enum class Repeatability {
    /// The call may be sent again after a failure.
    Idempotent,
    /// The call needs an idempotency key and is sent to an upstream once at the most.
    AtMostOnce,
};

/// The calls of a plain service that share a method and a path prefix.
struct ServiceRoute
{
    std::string method;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
};

/// A plain service behind /services/NAME.
struct PlainService
{
    std::string name;
    Core::UpstreamGroupId upstreamGroup;
    /// How long an idempotency key is remembered after its issue time.
    std::chrono::seconds keyWindow {0};
    /// The longest time for one call.
    std::chrono::milliseconds timeout {0};
    std::vector<ServiceRoute> routes;

    /// The route with the longest prefix of whole path segments, or null. The path starts with a
    /// slash and has no query. A path that an upstream could read as another one (dot segments,
    /// empty segments, escaped dots or slashes) has no route, so that no call slips past its
    /// at-most-once route.
    const ServiceRoute *route(std::string_view method, std::string_view path) const;
};

} // namespace Configuration
