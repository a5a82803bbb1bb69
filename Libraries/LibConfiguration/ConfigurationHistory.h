#pragma once

#include <LibConfiguration/ConfigurationVersion.h>
#include <LibPlatform/LogRecord.h>

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/// What the fold decided about one record.
enum class Verdict {
    /// The first valid publication for its generation.
    Accepted,
    /// Replaces a generation that is no longer, or not yet, in force.
    LostRace,
    /// Replaces the right generation with a document that has faults or another digest.
    Invalid,
    /// A whole copy of a document; changes nothing for a reader that has the state already.
    Renewed,
    /// A renewal from which this reader took the state after a gap.
    Anchored,
    /// Not a record of this environment's configuration.
    Unreadable,
    /// Passed over while the reader seeks a renewal after a gap.
    Skipped,
    /// Of a format that this program is too old to judge; the fold stops before it.
    Undecidable,
};

/// The name of a verdict for logs and tables.
std::string_view verdictName(Verdict verdict);

/// One record and the verdict on it.
struct HistoryEntry
{
    Platform::LogOffset offset = 0;
    Verdict verdict = Verdict::Unreadable;
    /// The generation in force after the record.
    Generation generation = 0;
    std::string publicationId;
    std::string publisher;
    /// Faults or the reason of a refusal.
    std::string detail;
    /// The version that came into force with this record, or null.
    ConfigurationVersionPointer version;
};

/// Decides the order of configurations: a pure fold over the records of one stream. Readers of the
/// same records reach the same state, whatever pages they read and wherever they start, because
/// only the log's order and the bytes count.
///
/// A publication names the generation that it replaces; the first valid one for that generation
/// wins. After a gap (retention has dropped records that were not read) nothing that follows can
/// be judged, so the reader seeks a renewal whose state covers everything before the first record
/// that is left, takes that state and goes on from there. The generation never falls.
///
/// Not thread safe.
class ConfigurationHistory
{
public:
    explicit ConfigurationHistory(std::string environment);

    const std::string &environment() const { return m_environment; }
    /// The log stream to read.
    std::string stream() const { return configurationStream(m_environment); }
    /// The offset to read from next. It moves back when a renewal after a gap is found.
    Platform::LogOffset nextOffset() const { return m_next; }
    /// Judges the records of a page that was read from wanted() on.
    std::vector<HistoryEntry> processPage(const Platform::LogPage &page);

    /// The version in force by the log; generation 0 before the first.
    const ConfigurationVersionPointer &current() const { return m_current; }
    /// Whether the state covers every record before wanted(). False after a gap.
    bool isAnchored() const { return m_anchored; }
    /// Whether the next record is of a format that this program cannot judge.
    bool isHalted() const { return m_halted; }

    /// When this instance should append a renewal, by the log's clock; nothing when there is
    /// nothing to renew. Instances get different times within half an interval, so that one of them
    /// usually does it for all; several renewals do no harm.
    std::optional<std::chrono::system_clock::time_point>
    renewalTime(std::string_view instance, std::chrono::milliseconds interval) const;
    /// The renewal to append. Only for an anchored reader with a generation above 0.
    Renewal renewal(std::string renewer) const;

private:
    struct TimedOffset
    {
        Platform::LogOffset offset = 0;
        std::chrono::system_clock::time_point time;
    };

    void noteGap(const Platform::LogPage &page);
    HistoryEntry evaluate(const Platform::LogRecord &record, Platform::LogOffset first);
    void evaluatePublication(const Publication &publication, const Platform::LogRecord &record,
                             HistoryEntry &entry);
    void evaluateRenewal(const Renewal &renewal, const Platform::LogRecord &record,
                         HistoryEntry &entry);
    void restoreFromRenewal(const Renewal &renewal, const Platform::LogRecord &record,
                            Platform::LogOffset first, HistoryEntry &entry);
    void noteRecordTime(const Platform::LogRecord &record);
    /// Puts the version in force and into the entry.
    void accept(ConfigurationVersion version, HistoryEntry &entry);

    std::string m_environment;
    ConfigurationVersionPointer m_current;
    Platform::LogOffset m_next = 0;
    bool m_anchored = true;
    bool m_halted = false;
    /// The offset up to which the newest whole copy stands for the records before it.
    Platform::LogOffset m_copyFoldedTo = 0;
    /// The times of the records from m_copyFoldedTo on.
    std::deque<TimedOffset> m_recordTimes;
};

} // namespace Configuration
