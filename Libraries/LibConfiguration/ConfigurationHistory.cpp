#include <LibConfiguration/ConfigurationHistory.h>
#include <LibCore/Hash.h>

#include <array>
#include <utility>

namespace Configuration {

namespace {

constexpr std::array<std::string_view, 8> VerdictNames = {
    "accepted", "lost_race",  "invalid", "renewed",
    "anchored", "unreadable", "skipped", "undecidable",
};

} // namespace

std::string_view verdictName(Verdict verdict)
{
    return VerdictNames.at(static_cast<std::size_t>(verdict));
}

ConfigurationHistory::ConfigurationHistory(std::string environment)
    : m_environment(std::move(environment))
    , m_current(std::make_shared<const ConfigurationVersion>())
{ }

std::vector<HistoryEntry> ConfigurationHistory::processPage(const Platform::LogPage &page)
{
    noteGap(page);
    m_halted = false;
    std::vector<HistoryEntry> entries;
    for (const auto &it : page.records) {
        if (it.offset != m_next)
            continue;
        entries.push_back(evaluate(it, page.first));
        if (m_halted || entries.back().verdict == Verdict::Anchored)
            break;
    }
    return entries;
}

std::optional<std::chrono::system_clock::time_point>
ConfigurationHistory::renewalTime(std::string_view instance,
                                  std::chrono::milliseconds interval) const
{
    if (!m_anchored || m_halted || m_current->generation == 0 || m_recordTimes.empty())
        return std::nullopt;
    // The newest complete copy is usable until retention drops the record at its foldedTo offset,
    // so the renewal time depends on the age of that record.
    constexpr std::uint64_t Steps = 1'024;
    const auto step = static_cast<std::int64_t>(Core::hash64(instance, m_copyFoldedTo) % Steps);
    const auto delay = interval / 2 * step / static_cast<std::int64_t>(Steps);
    return m_recordTimes.front().time + interval + delay;
}

Renewal ConfigurationHistory::renewal(std::string renewer) const
{
    return {
        .generation = m_current->generation,
        .digest = m_current->digest,
        .foldedTo = m_next,
        .renewer = std::move(renewer),
        .document = m_current->bytes,
    };
}

void ConfigurationHistory::noteGap(const Platform::LogPage &page)
{
    if (page.first <= m_next)
        return;
    m_next = page.first;
    m_anchored = false;
    m_recordTimes.clear();
}

HistoryEntry ConfigurationHistory::evaluate(const Platform::LogRecord &record,
                                            Platform::LogOffset first)
{
    HistoryEntry entry {.offset = record.offset};
    const auto decoded = decodeRecord(m_environment, record.data);
    const auto *publication =
        decoded.has_value() ? std::get_if<Publication>(&decoded.assume_value()) : nullptr;
    const auto *renewal =
        decoded.has_value() ? std::get_if<Renewal>(&decoded.assume_value()) : nullptr;
    if (publication) {
        entry.publicationId = publication->publicationId;
        entry.publisher = publication->publisher;
    }
    if (!decoded.has_value())
        entry.detail = decoded.assume_error().detail();
    else if (!m_anchored && renewal)
        restoreFromRenewal(*renewal, record, first, entry);
    else if (!m_anchored)
        entry.verdict = Verdict::Skipped;
    else if (publication)
        evaluatePublication(*publication, record, entry);
    else
        evaluateRenewal(*renewal, record, entry);
    entry.generation = m_current->generation;
    if (m_halted || entry.verdict == Verdict::Anchored)
        return entry;
    m_next = record.offset + 1;
    if (m_anchored)
        noteRecordTime(record);
    return entry;
}

void ConfigurationHistory::evaluatePublication(const Publication &publication,
                                               const Platform::LogRecord &record,
                                               HistoryEntry &entry)
{
    entry.verdict = Verdict::LostRace;
    if (publication.replaces != m_current->generation) {
        entry.detail = "replaces generation " + std::to_string(publication.replaces) + ", but "
                       + std::to_string(m_current->generation) + " is active";
        return;
    }
    entry.verdict = Verdict::Invalid;
    auto bytes = publication.change.apply(m_current->bytes);
    if (!bytes || Core::sha256Hex(*bytes) != publication.digest) {
        entry.detail = "the document does not match its digest";
        return;
    }
    auto report = Document::check(*bytes);
    if (!report.formatKnown) {
        entry.verdict = Verdict::Undecidable;
        m_halted = true;
    }
    if (!report.document) {
        entry.detail = describeFaults(report.faults);
        return;
    }
    entry.verdict = Verdict::Accepted;
    accept({.generation = publication.replaces + 1,
            .digest = publication.digest,
            .bytes = std::move(*bytes),
            .document = std::move(report.document),
            .publisher = publication.publisher,
            .promotedFrom = publication.promotedFrom,
            .recordedAt = record.time},
           entry);
}

void ConfigurationHistory::evaluateRenewal(const Renewal &renewal,
                                           const Platform::LogRecord &record, HistoryEntry &entry)
{
    entry.verdict = Verdict::Renewed;
    const bool isCopy =
        renewal.generation == m_current->generation && renewal.digest == m_current->digest;
    if (!isCopy || renewal.foldedTo <= m_copyFoldedTo || renewal.foldedTo > record.offset) {
        entry.detail = "not a newer copy of the active document";
        return;
    }
    m_copyFoldedTo = renewal.foldedTo;
    while (!m_recordTimes.empty() && m_recordTimes.front().offset < m_copyFoldedTo)
        m_recordTimes.pop_front();
}

void ConfigurationHistory::restoreFromRenewal(const Renewal &renewal,
                                              const Platform::LogRecord &record,
                                              Platform::LogOffset first, HistoryEntry &entry)
{
    entry.verdict = Verdict::Skipped;
    // A renewal whose writer was paused may follow publications that the writer had not read. The
    // renewal is usable only if the log still has all records since its state, so that they can be
    // replayed.
    if (renewal.foldedTo < first || renewal.foldedTo > record.offset) {
        entry.detail = "the log no longer has all records after the copy";
        return;
    }
    const bool isSame = renewal.generation == m_current->generation;
    if (renewal.generation < m_current->generation
        || (isSame && renewal.digest != m_current->digest)) {
        entry.detail = "a copy of an older generation or of a different document";
        return;
    }
    if (Core::sha256Hex(renewal.document) != renewal.digest) {
        entry.detail = "the copy does not match its digest";
        return;
    }
    auto report = Document::check(renewal.document);
    if (!report.formatKnown) {
        entry.verdict = Verdict::Undecidable;
        m_halted = true;
    }
    if (!report.document) {
        entry.detail = describeFaults(report.faults);
        return;
    }
    entry.verdict = Verdict::Anchored;
    m_anchored = true;
    m_next = renewal.foldedTo;
    m_copyFoldedTo = renewal.foldedTo;
    if (isSame)
        return;
    accept({.generation = renewal.generation,
            .digest = renewal.digest,
            .bytes = renewal.document,
            .document = std::move(report.document),
            .recordedAt = record.time},
           entry);
}

void ConfigurationHistory::noteRecordTime(const Platform::LogRecord &record)
{
    if (record.offset >= m_copyFoldedTo)
        m_recordTimes.push_back({record.offset, record.time});
}

void ConfigurationHistory::accept(ConfigurationVersion version, HistoryEntry &entry)
{
    m_current = std::make_shared<const ConfigurationVersion>(std::move(version));
    entry.version = m_current;
}

} // namespace Configuration
