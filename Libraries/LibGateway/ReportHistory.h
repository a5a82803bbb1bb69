#pragma once

#include <LibGateway/UpstreamReport.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Gateway {

/// The incarnations of an upstream in its reports, by which old reports that are written late are
/// told from those of the current incarnation.
///
/// An incarnation with a later start time that was not known before is the current one at once. The
/// start time is of the upstream's wall clock, which may have been set back; another incarnation
/// becomes the current one when two reports of it follow each other in ascending order, without
/// a new report of the current one in between.
class ReportHistory
{
public:
    enum class Verdict {
        New,
        /// The newest known report of the current incarnation, once more.
        Repeated,
        Old,
    };

    /// Records a report and decides whether it applies.
    Verdict note(const UpstreamReport &report);

private:
    struct Incarnation
    {
        std::chrono::milliseconds startTime {0};
        std::uint64_t sequence = 0;
    };

    Verdict makeCurrent(const Incarnation &incarnation);

    Incarnation m_current;
    bool m_isEmpty = true;
    /// The newest known reports of earlier incarnations, the last one last.
    std::vector<Incarnation> m_former;
    /// A report that may be the first one of a new incarnation.
    std::optional<Incarnation> m_candidate;
};

} // namespace Gateway
