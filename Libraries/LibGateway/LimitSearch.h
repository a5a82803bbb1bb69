#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/RateLimitExchange.h>
#include <LibGateway/RequestPlan.h>

#include <optional>
#include <set>
#include <variant>

namespace Gateway {

/// Looks for an upstream whose limit on the rate of its requests allows one more, in one planning
/// of a request.
class LimitSearch
{
public:
    /// The request is not sent to the excluded upstreams.
    LimitSearch(Gateway &gateway, const AcceptedRequest &request,
                const std::set<Core::UpstreamId> &excluded);

    /// Returns the upstreams that have no room for the request now.
    const std::set<Core::UpstreamId> &full() const { return m_full; }
    /// Reserves the sending of the request to the plan's upstream. If that is not possible, the
    /// upstream counts as full.
    boost::asio::awaitable<std::optional<RatePermit>> reserve(RequestPlan plan);
    /// Returns the refusal of a planning. If upstreams are missing because they are full, it has
    /// the time at which one may have room again.
    Refusal refuse(const Refusal &refusal) const;

private:
    /// Returns how long the request may wait for its sending. If it can be sent elsewhere at once,
    /// it does not wait.
    std::chrono::milliseconds maxWait(const RequestPlan &plan) const;

    Gateway &m_gateway;
    const AcceptedRequest &m_request;
    const std::set<Core::UpstreamId> &m_excluded;
    std::set<Core::UpstreamId> m_full;
};

/// Returns whether the upstream has named a limit, and the permit does not cover it at this time.
bool needsPermit(const Gateway &gateway, const Upstream &upstream,
                 const std::optional<RatePermit> &permit);

/// Records what an answer to a request states about the limit of its upstream.
void noteLimit(Gateway &gateway, const Upstream &upstream,
               const std::shared_ptr<UpstreamNotices> &notices, const AnswerHead &head);

} // namespace Gateway
