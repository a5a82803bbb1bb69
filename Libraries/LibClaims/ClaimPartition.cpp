#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimPartition.h>

namespace Claims {

void ClaimPartition::consume(const Platform::LogPage &page,
                             std::chrono::system_clock::time_point wallNow,
                             const RecordHook &onRecord)
{
    // A stream that ends before what was already read has lost its tail: its offsets start anew.
    if (page.first > m_next || page.next < m_next)
        rebuild(page, wallNow);
    for (const auto &it : page.records) {
        if (it.offset < m_next)
            continue;
        m_next = it.offset + 1;
        const auto records = decodeBatch(it.data);
        if (!records) {
            ++m_garbage;
            continue;
        }
        for (const auto &record : *records)
            onRecord(record, m_index.apply(record, it.time));
    }
    if (m_next >= page.next)
        m_caughtUp = true;
}

void ClaimPartition::rebuild(const Platform::LogPage &page,
                             std::chrono::system_clock::time_point wallNow)
{
    // What is missing is older than the first record that is left.
    const auto lostUntil = page.records.empty() ? wallNow : page.records.front().time;
    m_index.restart(lostUntil);
    m_next = page.first;
    m_caughtUp = false;
    ++m_rebuilds;
}

} // namespace Claims
