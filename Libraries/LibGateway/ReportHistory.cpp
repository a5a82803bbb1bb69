#include <LibGateway/ReportHistory.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

constexpr std::size_t MaxFormer = 8;
// Reports in a row that are missing in the log because the store did not accept them.
constexpr std::uint64_t MaxMissedReports = 8;

} // namespace

ReportHistory::Verdict ReportHistory::note(const UpstreamReport &report)
{
    if (report.position != 0 && report.position < m_position)
        return Verdict::Old;
    const bool isLater = report.position > m_position;
    m_position = std::max(m_position, report.position);
    if (std::exchange(m_isEmpty, false)) {
        m_current.startTime = report.startTime;
        return update(report);
    }
    if (report.startTime != m_current.startTime) {
        const auto *former = findFormer(report.startTime);
        if (!former && report.startTime > m_current.startTime)
            return makeCurrent(report);
        return noteLower(report, isLater, former);
    }
    if (report.sequence == m_current.sequence) {
        const bool isContradicted = m_current.isDraining && !report.isDraining;
        m_current.isDraining |= report.isDraining;
        return isContradicted ? Verdict::Old : Verdict::Repeated;
    }
    const auto &known = m_current.known;
    const bool isContinued =
        !known.contains(report.sequence) && known.hasBetween(0, report.sequence);
    const bool isDrainingNow = isLater && isContinued && report.isDraining && !m_current.isDraining;
    if (report.sequence > m_current.sequence || isDrainingNow)
        return update(report);
    return m_current.hasJumped ? noteLower(report, isLater, &m_current) : Verdict::Old;
}

ReportHistory::Verdict ReportHistory::noteLower(const UpstreamReport &report, bool isLater,
                                                const Incarnation *known)
{
    if (!isLater || (known && known->known.contains(report.sequence)))
        return Verdict::Old;
    if (!confirmsCandidate(report, known)) {
        m_candidate = report;
        return Verdict::Old;
    }
    return report.startTime == m_current.startTime ? update(report) : makeCurrent(report);
}

bool ReportHistory::confirmsCandidate(const UpstreamReport &report, const Incarnation *known) const
{
    return m_candidate && m_candidate->startTime == report.startTime
           && m_candidate->sequence < report.sequence
           && !(known && known->known.hasBetween(m_candidate->sequence, report.sequence));
}

ReportHistory::Incarnation *ReportHistory::findFormer(std::chrono::milliseconds startTime)
{
    const auto it = std::find_if(m_former.begin(), m_former.end(),
                                 [&](const auto &it) { return it.startTime == startTime; });
    return it == m_former.end() ? nullptr : &*it;
}

ReportHistory::Verdict ReportHistory::makeCurrent(const UpstreamReport &report)
{
    Incarnation incarnation;
    incarnation.startTime = report.startTime;
    if (const auto *former = findFormer(report.startTime))
        incarnation = *former;
    std::erase_if(m_former, [&](const auto &it) { return it.startTime == report.startTime; });
    m_former.push_back(std::exchange(m_current, std::move(incarnation)));
    if (m_former.size() > MaxFormer)
        m_former.erase(m_former.begin());
    return update(report);
}

ReportHistory::Verdict ReportHistory::update(const UpstreamReport &report)
{
    const bool isLower = report.sequence < m_current.sequence;
    const bool isJump = !m_current.known.isEmpty() && !isLower
                        && report.sequence - m_current.sequence > MaxMissedReports;
    m_current.hasJumped = isJump || (m_current.hasJumped && !isLower);
    if (m_candidate && m_candidate->startTime == report.startTime)
        m_current.known.insert(m_candidate->sequence);
    m_candidate.reset();
    m_current.known.insert(report.sequence);
    m_current.sequence = report.sequence;
    m_current.isDraining = report.isDraining;
    return Verdict::New;
}

} // namespace Gateway
