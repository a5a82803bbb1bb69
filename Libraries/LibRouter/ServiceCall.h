#pragma once

#include <LibClaims/Outcome.h>
#include <LibHttp/Message.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace Router {

/// A call to a plain service, with everything that is needed to complete it after the caller has
/// disconnected.
struct ServiceCall
{
    Core::UpstreamGroupId group;
    Http::Request request;
    std::chrono::milliseconds timeout {0};
};

/// Returns the upstream of the group for the next call: not leaving, not tried yet, preferably not
/// suspected, and with the fewest requests in flight. Returns null when there is none.
UpstreamPtr chooseServiceUpstream(Instance &instance, const Core::UpstreamGroupId &group,
                                  const std::vector<UpstreamPtr> &tried);

/// Sends the call to one upstream. Throws the errors of Http::Client::fetch().
boost::asio::awaitable<Http::Response> sendServiceCall(Instance &instance, ServiceCall call,
                                                       UpstreamPtr upstream,
                                                       Http::ConnectionUse use);

/// Sends the call to at most one upstream. Another upstream is tried only after a failed connection
/// attempt, because no byte of the request can have been sent before.
boost::asio::awaitable<Claims::SendResult> sendServiceCallOnce(Instance &instance,
                                                               ServiceCall call);

} // namespace Router
