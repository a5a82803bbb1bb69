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

/// The result of evaluating one record of the stream.
enum class Verdict {
    /// The first valid publication for its generation.
    Accepted,
    /// Replaces a generation that is not the active one.
    LostRace,
    /// Replaces the active generation, but the document has faults or does not match its digest.
    Invalid,
    /// A complete copy of a document. It changes nothing for a reader that already has the state.
    Renewed,
    /// A renewal from which this reader restored its state after a gap.
    Anchored,
    /// Not a record of this environment's configuration.
    Unreadable,
    /// Skipped because the reader is looking for a usable renewal after a gap.
    Skipped,
    /// Uses a format that is newer than this program. Processing stops before the record.
    Undecidable,
};

/// Returns the name of a verdict for logs and tables.
std::string_view verdictName(Verdict verdict);

/// The result for one record of the stream.
struct HistoryEntry
{
    Platform::LogOffset offset = 0;
    Verdict verdict = Verdict::Unreadable;
    /// The active generation after the record.
    Generation generation = 0;
    std::string publicationId;
    std::string publisher;
    /// The faults or the reason why the record was rejected.
    std::string detail;
    /// The version that this record activated, or null.
    ConfigurationVersionPointer version;
};

/// Determines the active configuration by replaying the records of one stream. Readers of the same
/// records reach the same state regardless of page sizes and starting offsets, because the result
/// depends only on the order and the bytes of the records.
///
/// A publication names the generation that it replaces; the first valid one for that generation
/// wins. After a gap (retention has dropped unread records) the following publications cannot be
/// evaluated. The reader then looks for a renewal whose state covers every record before the oldest
/// retained one, restores that state and continues from there. The generation never decreases.
///
/// Not thread-safe.
class ConfigurationHistory
{
public:
    explicit ConfigurationHistory(std::string environment);

    const std::string &environment() const { return m_environment; }
    /// Returns the name of the log stream to read.
    std::string stream() const { return configurationStream(m_environment); }
    /// Returns the offset to read next. It moves back when a usable renewal is found after a gap.
    Platform::LogOffset nextOffset() const { return m_next; }
    /// Evaluates the records of a page that was read from nextOffset().
    std::vector<HistoryEntry> processPage(const Platform::LogPage &page);

    /// Returns the active version according to the log; generation 0 before the first publication.
    const ConfigurationVersionPointer &current() const { return m_current; }
    /// Returns whether the state covers every record before nextOffset(). False after a gap.
    bool isAnchored() const { return m_anchored; }
    /// Returns whether the next record uses a format that this program does not support.
    bool isHalted() const { return m_halted; }

    /// Returns when this instance should append a renewal, by the log's clock, or nothing when
    /// there is nothing to renew. The times of the instances are spread over half an interval, so
    /// that usually only one of them appends a renewal. Additional renewals are harmless.
    std::optional<std::chrono::system_clock::time_point>
    renewalTime(std::string_view instance, std::chrono::milliseconds interval) const;
    /// Returns the renewal to append. Requires an anchored reader with a generation above 0.
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
    /// Makes the version the active one and stores it in the entry.
    void accept(ConfigurationVersion version, HistoryEntry &entry);

    std::string m_environment;
    ConfigurationVersionPointer m_current;
    Platform::LogOffset m_next = 0;
    bool m_anchored = true;
    bool m_halted = false;
    /// The newest complete copy covers all records before this offset.
    Platform::LogOffset m_copyFoldedTo = 0;
    /// The times of the records starting at m_copyFoldedTo.
    std::deque<TimedOffset> m_recordTimes;
};

} // namespace Configuration
