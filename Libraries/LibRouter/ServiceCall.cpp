#include <LibRouter/InFlightGuard.h>
#include <LibRouter/ServiceCall.h>
#include <LibRouter/ThreadRandom.h>

#include <algorithm>

namespace Router {

namespace asio = boost::asio;

UpstreamPtr chooseServiceUpstream(Instance &instance, const Core::UpstreamGroupId &group,
                                  const std::vector<UpstreamPtr> &tried)
{
    UpstreamPtr best;
    const auto cost = [](const Upstream &upstream) {
        return std::pair(upstream.isSuspected(), upstream.inFlight());
    };
    for (const auto &upstream : instance.directory().group(group).upstreams) {
        if (upstream->isLeaving() || std::find(tried.begin(), tried.end(), upstream) != tried.end())
            continue;
        if (!best || cost(*upstream) < cost(*best))
            best = upstream;
    }
    return best;
}

asio::awaitable<Http::Response> sendServiceCall(Instance &instance, ServiceCall call,
                                                UpstreamPtr upstream, Http::ConnectionUse use)
{
    Http::ClientTimeouts timeouts;
    timeouts.connect = instance.settings().connectTimeout;
    timeouts.head = call.timeout;
    timeouts.body = call.timeout;
    const InFlightGuard guard(*upstream, false);
    try {
        auto response =
            co_await instance.client().fetch(upstream->endpoint(), std::move(call.request),
                                             timeouts, Http::Client::DefaultBodyLimit, use);
        upstream->circuit().noteSuccess();
        co_return response;
    } catch (const Core::Error &) {
        upstream->circuit().noteFailure(instance.clock().now(), threadRandom());
        throw;
    }
}

asio::awaitable<Claims::SendResult> sendServiceCallOnce(Instance &instance, ServiceCall call)
{
    Claims::SendResult result;
    result.state = Claims::SendState::NotSent;
    result.error = Core::ErrorKind::NoUpstream;
    std::vector<UpstreamPtr> tried;
    while (const auto upstream = chooseServiceUpstream(instance, call.group, tried)) {
        try {
            const auto response =
                co_await sendServiceCall(instance, call, upstream, Http::ConnectionUse::New);
            auto answer = std::make_shared<Claims::StoredAnswer>();
            answer->httpStatus = response.status;
            answer->contentType = response.headers.find("Content-Type").value_or("");
            answer->body = response.body;
            result.state = Claims::SendState::Answered;
            result.answer = std::move(answer);
            co_return result;
        } catch (const Core::Error &error) {
            result.error = error.kind();
            if (error.kind() != Core::ErrorKind::UpstreamUnreachable) {
                result.state = Claims::SendState::OutcomeLost;
                co_return result;
            }
        }
        tried.push_back(upstream);
    }
    co_return result;
}

} // namespace Router
