#include <LibGateway/IncarnationNotices.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxIncarnations = 8;

} // namespace

std::shared_ptr<UpstreamNotices> IncarnationNotices::of(const UpstreamReport &report)
{
    const auto it =
        std::find_if(m_incarnations.begin(), m_incarnations.end(), [&](const auto &incarnation) {
            return incarnation.startTime == report.startTime
                   && incarnation.endpoint == report.endpoint;
        });
    if (it != m_incarnations.end())
        return it->notices;
    if (m_incarnations.size() == MaxIncarnations)
        m_incarnations.erase(m_incarnations.begin());
    m_incarnations.push_back(
        {report.startTime, report.endpoint, std::make_shared<UpstreamNotices>()});
    return m_incarnations.back().notices;
}

} // namespace Gateway
