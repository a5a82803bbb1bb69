#include <LibAdmission/SuspectTable.h>

#include <algorithm>

namespace Admission {

namespace {

/// Orders crashes from newest to oldest, then by identifier so that all instances keep the same
/// ones.
bool isNewer(const CrashRecord &a, const CrashRecord &b)
{
    return a.time != b.time ? a.time > b.time : a.crash > b.crash;
}

Core::Clock::Wall newestTime(const SuspectRecord &record)
{
    return record.crashes.empty() ? record.clearedAt
                                  : std::max(record.clearedAt, record.crashes.front().time);
}

} // namespace

SuspectTable::SuspectTable(const Core::Clock &clock, const SuspectSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
{ }

SuspectVerdict SuspectTable::check(RequestDigest digest) const
{
    if (m_size.load(std::memory_order_relaxed) == 0)
        return SuspectVerdict::Clear;
    std::scoped_lock lock(m_mutex);
    const auto it = m_records.find(digest);
    if (it == m_records.end())
        return SuspectVerdict::Clear;
    const auto &crashes = it->second.crashes;
    const auto counted =
        std::count_if(crashes.begin(), crashes.end(),
                      [&](const auto &crashRecord) { return isCounted(crashRecord, it->second); });
    if (counted == 0)
        return SuspectVerdict::Clear;
    return static_cast<std::size_t>(counted) < m_settings.crashLimit ? SuspectVerdict::Suspect
                                                                     : SuspectVerdict::Poison;
}

void SuspectTable::noteCrash(std::uint64_t crash, std::span<const RequestDigest> running)
{
    std::scoped_lock lock(m_mutex);
    const auto now = m_clock.wallNow();
    for (const auto digest : running)
        mergeLocked({.digest = digest, .crashes = {{crash, now}}, .clearedAt = {}});
    evictLocked();
}

void SuspectTable::noteAnswered(RequestDigest digest)
{
    if (m_size.load(std::memory_order_relaxed) == 0)
        return;
    std::scoped_lock lock(m_mutex);
    if (m_records.contains(digest))
        mergeLocked({.digest = digest, .crashes = {}, .clearedAt = m_clock.wallNow()});
}

std::vector<SuspectRecord> SuspectTable::records(std::size_t limit) const
{
    std::scoped_lock lock(m_mutex);
    std::vector<SuspectRecord> all;
    all.reserve(m_records.size());
    for (const auto &[digest, record] : m_records)
        all.push_back(record);
    std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
        const auto left = newestTime(a);
        const auto right = newestTime(b);
        return left != right ? left > right : a.digest < b.digest;
    });
    if (all.size() > limit)
        all.resize(limit);
    return all;
}

void SuspectTable::merge(std::span<const SuspectRecord> records)
{
    std::scoped_lock lock(m_mutex);
    for (const auto &record : records)
        mergeLocked(record);
    evictLocked();
}

void SuspectTable::mergeLocked(const SuspectRecord &record)
{
    auto &it = m_records[record.digest];
    it.digest = record.digest;
    it.clearedAt = std::max(it.clearedAt, record.clearedAt);
    for (const auto &crashRecord : record.crashes) {
        const auto same =
            std::find_if(it.crashes.begin(), it.crashes.end(),
                         [&](const auto &known) { return known.crash == crashRecord.crash; });
        if (same == it.crashes.end())
            it.crashes.push_back(crashRecord);
        else
            same->time = std::max(same->time, crashRecord.time);
    }
    std::erase_if(it.crashes, [&](const auto &crashRecord) { return !isCounted(crashRecord, it); });
    std::sort(it.crashes.begin(), it.crashes.end(), isNewer);
    if (it.crashes.size() > m_settings.crashLimit)
        it.crashes.resize(m_settings.crashLimit);
    // A record without crashes is kept for its clearedAt while siblings may still send older
    // crashes.
    if (newestTime(it) + m_settings.window < m_clock.wallNow())
        m_records.erase(record.digest);
    m_size = m_records.size();
}

bool SuspectTable::isCounted(const CrashRecord &crashRecord, const SuspectRecord &record) const
{
    return crashRecord.time > record.clearedAt
           && crashRecord.time + m_settings.window >= m_clock.wallNow();
}

void SuspectTable::evictLocked()
{
    while (m_records.size() > m_settings.capacity) {
        const auto oldest =
            std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
                return newestTime(a.second) < newestTime(b.second);
            });
        m_records.erase(oldest);
    }
    m_size = m_records.size();
}

} // namespace Admission
