#include <LibClaims/ClaimIndex.h>

#include <algorithm>

namespace Claims {

namespace {
// Lookups ignore expired entries immediately; a sweep removes them this many times per window.
constexpr int SweepsPerWindow = 16;
} // namespace

Verdict ClaimIndex::apply(const ClaimRecord &record, std::chrono::system_clock::time_point logTime)
{
    m_logTime = std::max(m_logTime, logTime);
    sweep();
    if (m_window.isExpired(record.key.issuedAt, m_logTime))
        return {VerdictKind::Expired, std::nullopt};
    // Records that precede their key's issue time have no effect, whatever their kind. A reader
    // that lost them therefore reaches the same verdicts as one that did not.
    if (m_window.isInFuture(record.key.issuedAt, m_logTime))
        return {VerdictKind::InFuture, std::nullopt};
    switch (record.kind) {
    case RecordKind::Claim:
        return applyClaim(record);
    case RecordKind::Close:
        return applyClose(record);
    case RecordKind::Void:
        applyVoid(record);
        return {VerdictKind::AttemptEnded, std::nullopt};
    case RecordKind::Finished:
        applyFinished(record);
        return {VerdictKind::KeyFinished, std::nullopt};
    }
    return {};
}

Verdict ClaimIndex::applyClaim(const ClaimRecord &record)
{
    if (m_endedAttempts.contains(record.attempt))
        return {VerdictKind::AttemptEnded, std::nullopt};
    const auto *entry = liveEntry(record.key);
    const bool isOwn = entry && entry->attempt == record.attempt;
    if (entry && entry->state != KeyState::Free && !isOwn) {
        if (entry->digest != record.digest || entry->issuedAt != record.key.issuedAt)
            return reject(record, VerdictKind::Conflict, *entry);
        if (entry->state == KeyState::Held)
            return reject(record, VerdictKind::Lost, *entry);
    }
    const bool certain = isCertain(record.key.issuedAt);
    if (entry && entry->state == KeyState::Closed)
        return reject(record, certain ? VerdictKind::KeyClosed : VerdictKind::Uncertain, *entry);
    if (entry && entry->state == KeyState::Finished)
        return reject(record, VerdictKind::KeyFinished, *entry);
    if (!isOwn)
        storeEntry(record, KeyState::Held);
    return {certain ? VerdictKind::Won : VerdictKind::Uncertain,
            Holding {record.attempt, record.holder}};
}

Verdict ClaimIndex::applyClose(const ClaimRecord &record)
{
    const auto *entry = liveEntry(record.key);
    if (entry && entry->state == KeyState::Finished)
        return {VerdictKind::KeyFinished, holdingOf(*entry)};
    if (entry && entry->state == KeyState::Held && entry->attempt != record.attempt)
        return {VerdictKind::Lost, holdingOf(*entry)};
    if (!entry || entry->state != KeyState::Closed)
        storeEntry(record, KeyState::Closed);
    return {isCertain(record.key.issuedAt) ? VerdictKind::KeyClosed : VerdictKind::Uncertain,
            std::nullopt};
}

void ClaimIndex::applyVoid(const ClaimRecord &record)
{
    m_endedAttempts.insert_or_assign(record.attempt, record.key.issuedAt);
    auto *entry = liveEntry(record.key);
    if (entry && entry->state == KeyState::Held && entry->attempt == record.attempt)
        entry->state = KeyState::Free;
}

void ClaimIndex::applyFinished(const ClaimRecord &record)
{
    const auto *entry = liveEntry(record.key);
    if (!entry || entry->state != KeyState::Finished)
        storeEntry(record, KeyState::Finished);
}

Verdict ClaimIndex::reject(const ClaimRecord &record, VerdictKind kind, const Entry &entry)
{
    const auto holding = holdingOf(entry);
    const bool isOwn = entry.attempt == record.attempt;
    if (!isOwn)
        m_endedAttempts.insert_or_assign(record.attempt, record.key.issuedAt);
    return {kind, holding};
}

std::optional<KeyView> ClaimIndex::find(const ClaimKey &key) const
{
    const auto it = m_entries.find(key.id());
    if (it == m_entries.end() || m_window.isExpired(it->second.issuedAt, m_logTime))
        return std::nullopt;
    const auto &entry = it->second;
    const bool certain = entry.state == KeyState::Finished || isCertain(entry.issuedAt);
    return KeyView {entry.state, certain, entry.issuedAt, entry.digest, holdingOf(entry)};
}

void ClaimIndex::clearAfterLoss(std::chrono::system_clock::time_point lostUntil)
{
    m_entries.clear();
    m_endedAttempts.clear();
    m_holders.clear();
    m_certainAfter = lostUntil + m_window.skew();
}

bool ClaimIndex::isCertain(IssueTime issuedAt) const
{
    return !m_certainAfter || issuedAt > *m_certainAfter;
}

std::size_t ClaimIndex::memoryBytes() const
{
    // The flat tables store one byte of metadata per slot in addition to the values.
    return m_entries.bucket_count() * (sizeof(decltype(m_entries)::value_type) + 1)
           + m_endedAttempts.bucket_count() * (sizeof(decltype(m_endedAttempts)::value_type) + 1)
           + m_holders.capacity() * sizeof(Holder);
}

ClaimIndex::Entry *ClaimIndex::liveEntry(const ClaimKey &key)
{
    const auto it = m_entries.find(key.id());
    if (it == m_entries.end() || m_window.isExpired(it->second.issuedAt, m_logTime))
        return nullptr;
    return &it->second;
}

void ClaimIndex::storeEntry(const ClaimRecord &record, KeyState state)
{
    const Entry entry {record.key.issuedAt, record.digest, record.attempt,
                       internHolder(record.holder), state};
    m_entries.insert_or_assign(record.key.id(), entry);
}

std::uint32_t ClaimIndex::internHolder(const Holder &holder)
{
    // There are a few hundred holders per window. The current ones are at the end, so the search
    // starts there.
    const auto it = std::find(m_holders.rbegin(), m_holders.rend(), holder);
    if (it != m_holders.rend())
        return static_cast<std::uint32_t>(std::distance(it, m_holders.rend()) - 1);
    m_holders.push_back(holder);
    return static_cast<std::uint32_t>(m_holders.size() - 1);
}

Holding ClaimIndex::holdingOf(const Entry &entry) const
{
    return {entry.attempt, m_holders[entry.holder]};
}

void ClaimIndex::sweep()
{
    if (m_logTime < m_nextSweep)
        return;
    m_nextSweep = m_logTime + m_window.window() / SweepsPerWindow;
    boost::unordered::erase_if(m_entries, [this](const auto &it) {
        return m_window.isExpired(it.second.issuedAt, m_logTime);
    });
    boost::unordered::erase_if(m_endedAttempts, [this](const auto &it) {
        return m_window.isExpired(it.second, m_logTime);
    });
}

} // namespace Claims
