#pragma once

#include <LibGateway/SequenceRanges.h>
#include <LibGateway/UpstreamReport.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Gateway {

/// The incarnations of an upstream in its reports, by which old reports that are written late are
/// told from those of the current incarnation.
///
/// A later start time that was not known before, or a higher sequence of the current incarnation,
/// applies at once. Both are only claims: the upstream's wall clock may have been set back, and the
/// report may be of another writer. Reports of another start time, or with lower sequences after
/// one that was too far ahead to be of the same writer, apply, too, when two of them follow each
/// other in ascending order, without a new report of the current incarnation in between. They must
/// be later in the log than all known ones, and neither they nor a number between them may be
/// known, so that one report that is written late, or a known one that is written again, has no
/// effect. A new report that the current incarnation is draining applies at once, also between
/// known numbers, because the incarnation does not become ready again.
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
        bool isDraining = false;
        /// Whether the sequence is more ahead of the known ones than reports can be missing, so
        /// that it may be that of another writer.
        bool hasJumped = false;
        SequenceRanges known;
    };

    Verdict noteLower(const UpstreamReport &report, bool isLater, const Incarnation *known);
    /// Returns whether the report continues the candidate.
    bool confirmsCandidate(const UpstreamReport &report, const Incarnation *known) const;
    Incarnation *findFormer(std::chrono::milliseconds startTime);
    Verdict makeCurrent(const UpstreamReport &report);
    Verdict update(const UpstreamReport &report);

    Incarnation m_current;
    bool m_isEmpty = true;
    /// The position of the last report in the log.
    LogPosition m_position;
    /// Earlier incarnations, the last one last.
    std::vector<Incarnation> m_former;
    /// A report with lower numbers that may be the first one of another writer or incarnation.
    std::optional<UpstreamReport> m_candidate;
};

} // namespace Gateway
