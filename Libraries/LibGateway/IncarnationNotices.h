#pragma once

#include <LibGateway/UpstreamNotices.h>
#include <LibGateway/UpstreamReport.h>

#include <chrono>
#include <memory>
#include <vector>

namespace Gateway {

/// The notices of the last incarnations of an upstream, which hold when an incarnation is listed
/// again.
class IncarnationNotices
{
public:
    /// Returns the notices of the incarnation that the report is of.
    std::shared_ptr<UpstreamNotices> of(const UpstreamReport &report);

private:
    struct Incarnation
    {
        std::chrono::milliseconds startTime {0};
        Http::Endpoint endpoint;
        std::shared_ptr<UpstreamNotices> notices;
    };

    /// The last one last.
    std::vector<Incarnation> m_incarnations;
};

} // namespace Gateway
