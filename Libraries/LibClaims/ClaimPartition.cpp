#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimPartition.h>

namespace Claims {

void ClaimPartition::consume(const Platform::LogPage &page,
                             std::chrono::system_clock::time_point wallNow,
                             const RecordHook &onRecord)
{
    // A stream that ends before the offset already read has lost its tail and reuses those offsets.
    if (page.first > m_nextOffset || page.next < m_nextOffset)
        rebuild(page, wallNow);
    for (const auto &it : page.records) {
        if (it.offset < m_nextOffset)
            continue;
        m_nextOffset = it.offset + 1;
        const auto records = decodeBatch(it.data);
        if (!records) {
            ++m_malformed;
            continue;
        }
        for (const auto &record : *records)
            onRecord(record, m_index.apply(record, it.time));
    }
    if (m_nextOffset >= page.next)
        m_caughtUp = true;
}

void ClaimPartition::rebuild(const Platform::LogPage &page,
                             std::chrono::system_clock::time_point wallNow)
{
    // The missing records are older than the first remaining record.
    const auto lostUntil = page.records.empty() ? wallNow : page.records.front().time;
    m_index.clearAfterLoss(lostUntil);
    m_nextOffset = page.first;
    m_caughtUp = false;
    ++m_rebuilds;
}

} // namespace Claims
