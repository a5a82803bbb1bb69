#pragma once

#include <LibClaims/Outcome.h>
#include <LibHttp/Message.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace Router {

/// A call to a plain service, with all it needs to go on after its caller has gone away.
struct ServiceCall
{
    Core::UpstreamGroupId group;
    Http::Request request;
    std::chrono::milliseconds timeout {0};
};

/// The member of the group that takes the next call: not leaving, not tried, if possible not
/// suspected, with the least under way. Null when there is none.
UpstreamPtr chooseServiceUpstream(Instance &instance, const Core::UpstreamGroupId &group,
                                  const std::vector<UpstreamPtr> &tried);

/// Sends the call to one upstream. Throws as Http::Client::fetch() does.
boost::asio::awaitable<Http::Response> sendServiceCall(Instance &instance, ServiceCall call,
                                                       UpstreamPtr upstream,
                                                       Http::ConnectionUse use);

/// Sends the call to one upstream at the most. Only a connect that failed, before which no byte of
/// the request can have left, leads to another upstream.
boost::asio::awaitable<Claims::SendResult> sendServiceCallOnce(Instance &instance,
                                                               ServiceCall call);

} // namespace Router
