#include <LibGateway/ReportHistory.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxFormer = 8;

} // namespace

ReportHistory::Verdict ReportHistory::note(const UpstreamReport &report)
{
    const Incarnation incarnation {report.startTime, report.sequence};
    if (m_isEmpty) {
        m_isEmpty = false;
        m_current = incarnation;
        return Verdict::New;
    }
    if (incarnation.startTime == m_current.startTime) {
        if (incarnation.sequence == m_current.sequence)
            return Verdict::Repeated;
        if (incarnation.sequence < m_current.sequence)
            return Verdict::Old;
        m_current = incarnation;
        m_candidate.reset();
        return Verdict::New;
    }
    const auto former = std::find_if(m_former.begin(), m_former.end(), [&](const auto &it) {
        return it.startTime == incarnation.startTime;
    });
    const bool isFormer = former != m_former.end();
    if (isFormer && incarnation.sequence <= former->sequence)
        return Verdict::Old;
    if (!isFormer && incarnation.startTime > m_current.startTime)
        return makeCurrent(incarnation);
    if (m_candidate && m_candidate->startTime == incarnation.startTime
        && m_candidate->sequence < incarnation.sequence)
        return makeCurrent(incarnation);
    m_candidate = incarnation;
    return Verdict::Old;
}

ReportHistory::Verdict ReportHistory::makeCurrent(const Incarnation &incarnation)
{
    std::erase_if(m_former, [&](const auto &it) { return it.startTime == incarnation.startTime; });
    m_former.push_back(m_current);
    if (m_former.size() > MaxFormer)
        m_former.erase(m_former.begin());
    m_current = incarnation;
    m_candidate.reset();
    return Verdict::New;
}

} // namespace Gateway
