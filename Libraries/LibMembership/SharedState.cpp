#include <LibMembership/SharedState.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Membership {

using Peer::Wire::SharedRecord;
using std::chrono::milliseconds;

namespace {

// One in this many items is evicted when the state is full.
constexpr std::size_t EvictionDivisor = 16;

using Content = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

/// Returns the content of a record without its version and age and the rest of its key.
Content contentOf(const SharedRecord &record)
{
    return {record.object(), record.first(), record.second()};
}

Content contentOf(const SharedItem &item)
{
    return contentOf(toWire(item, 0, milliseconds(0)));
}

/// Returns the next version of an item. The version of a configuration is its generation, which the
/// log assigns; the version of other items is incremented.
std::uint32_t nextVersion(const SharedItem &item, std::uint32_t known)
{
    const auto *generation = std::get_if<ConfigurationGeneration>(&item);
    return generation != nullptr ? generation->generation : known + 1;
}

} // namespace

SharedState::SharedState(const Core::Clock &clock, const SharedStateSettings &settings,
                         Receiver receiver, ValueFunction value)
    : m_clock(clock)
    , m_settings(settings)
    , m_receiver(std::move(receiver))
    , m_value(std::move(value))
{ }

void SharedState::publish(const SharedItem &item)
{
    const auto key = keyOf(item);
    const auto it = m_entries.find(key);
    std::uint32_t known = 0;
    if (it != m_entries.end()) {
        known = it->second.version;
        const bool isFresh = ageOf(it->second) < lifetime(item) / 2;
        if (isFresh && !isSignificantUpdate(it->second.item, item))
            return;
    }
    const auto version = nextVersion(item, known);
    if (it == m_entries.end() || version > known)
        store(key, item, version, milliseconds(0));
}

void SharedState::receive(const std::vector<SharedRecord> &records)
{
    for (const auto &record : records) {
        const auto item = itemFromWire(record);
        const milliseconds age(record.age_ms());
        if (!item || age >= lifetime(*item))
            continue;
        const auto key = keyOf(*item);
        const auto it = m_entries.find(key);
        if (it != m_entries.end() && !supersedes(record, it->second))
            continue;
        store(key, *item, record.version(), age);
        if (m_receiver)
            m_receiver(*item, age);
    }
}

bool SharedState::supersedes(const SharedRecord &record, const Entry &entry)
{
    if (record.version() != entry.version)
        return record.version() > entry.version;
    // Two instances may have created this version concurrently; all instances must keep the same
    // one.
    return contentOf(record) > contentOf(entry.item);
}

void SharedState::store(const SharedKey &key, const SharedItem &item, std::uint32_t version,
                        milliseconds age)
{
    if (!m_entries.contains(key))
        evictLeastValuable();
    auto &entry = m_entries[key];
    // Different content under a version that was already sent does not restart its transmissions.
    const auto transmissions = entry.version == version ? entry.transmissions : 0;
    entry = {item, version, transmissions, m_value(item), m_clock.now() - age};
}

void SharedState::evictLeastValuable()
{
    if (m_entries.size() < m_settings.maxItems)
        return;
    expire();
    if (m_entries.size() < m_settings.maxItems)
        return;
    // Many items are evicted at once, because finding the least valuable ones requires a scan of
    // all items.
    std::vector<double> values;
    values.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries)
        values.push_back(entry.value);
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / EvictionDivisor);
    std::nth_element(values.begin(), middle, values.end());
    const auto least = *middle;
    std::size_t left = values.size() / EvictionDivisor + 1;
    std::erase_if(m_entries, [&](const auto &item) {
        const bool isEvicted = left > 0 && item.second.value <= least;
        left -= isEvicted ? 1 : 0;
        return isEvicted;
    });
}

void SharedState::expire()
{
    std::erase_if(m_entries, [this](const auto &item) {
        return ageOf(item.second) >= lifetime(item.second.item);
    });
}

milliseconds SharedState::ageOf(const Entry &entry) const
{
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - entry.observed);
}

SharedRecord SharedState::record(const Entry &entry) const
{
    return toWire(entry.item, entry.version, ageOf(entry));
}

std::vector<SharedRecord> SharedState::pack(std::size_t maxBytes)
{
    expire();
    struct Candidate
    {
        double score;
        Entry *entry;
    };
    std::vector<Candidate> candidates;
    for (auto &[key, entry] : m_entries) {
        const auto score = std::ldexp(entry.value, -static_cast<int>(entry.transmissions));
        if (entry.transmissions < m_settings.maxTransmissions && score > 0)
            candidates.push_back({score, &entry});
    }
    const auto count = std::min(candidates.size(), maxBytes / SharedRecordBytes);
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(
        candidates.begin(), middle, candidates.end(),
        [](const Candidate &left, const Candidate &right) { return left.score > right.score; });
    std::vector<SharedRecord> records;
    records.reserve(count);
    for (auto it = candidates.begin(); it != middle; ++it) {
        ++it->entry->transmissions;
        records.push_back(record(*it->entry));
    }
    return records;
}

std::vector<SharedRecord> SharedState::snapshotRecords(std::size_t maxBytes) const
{
    std::vector<const Entry *> entries;
    entries.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries) {
        if (ageOf(entry) < lifetime(entry.item))
            entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(),
              [](const Entry *left, const Entry *right) { return left->value > right->value; });
    entries.resize(std::min(entries.size(), maxBytes / SharedRecordBytes));
    std::vector<SharedRecord> records;
    records.reserve(entries.size());
    for (const auto *entry : entries)
        records.push_back(record(*entry));
    return records;
}

} // namespace Membership
