#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/SharedItem.h>

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Membership {

struct SharedStateSettings
{
    /// Maximum number of items. Beyond it, the least valuable items are evicted.
    std::size_t maxItems = 20'000;
    /// How often one instance sends an item, unless the item is renewed.
    unsigned maxTransmissions = 8;
};

/// The fleet's soft state as one instance knows it: its own observations and those of its siblings.
/// Items may be lost or late without affecting correctness.
///
/// Merging is idempotent and independent of order: for one key, the higher version wins, and within
/// one version the greater content. Not thread-safe; run it on one strand.
class SharedState
{
public:
    using Receiver = std::function<void(const SharedItem &item, std::chrono::milliseconds age)>;
    using ValueFunction = std::function<double(const SharedItem &item)>;

    /// The receiver is called for each item from a sibling that is new or supersedes the known one.
    SharedState(const Core::Clock &clock, const SharedStateSettings &settings, Receiver receiver,
                ValueFunction value = defaultValue);

    /// Publishes an observation of this instance. An insignificant update (see
    /// isSignificantUpdate()) changes nothing until half of the item's lifetime has passed; then
    /// the item is renewed at the siblings.
    void publish(const SharedItem &item);

    /// Merges the records that a sibling sent.
    void receive(const std::vector<Peer::Wire::SharedRecord> &records);

    /// Returns the most valuable items that fit into the byte limit, and counts them as sent once
    /// more. The value per byte is halved for each time an item was already sent.
    std::vector<Peer::Wire::SharedRecord> pack(std::size_t maxBytes);

    /// Returns the most valuable items that fit into the byte limit, whether already sent or not,
    /// for a snapshot.
    std::vector<Peer::Wire::SharedRecord> snapshotRecords(std::size_t maxBytes) const;

    /// Removes items that have exceeded their lifetime.
    void expire();

    bool knows(const SharedKey &key) const { return m_entries.contains(key); }
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        SharedItem item;
        std::uint32_t version = 0;
        unsigned transmissions = 0;
        double value = 0;
        Core::Clock::Monotonic observed;
    };

    void store(const SharedKey &key, const SharedItem &item, std::uint32_t version,
               std::chrono::milliseconds age);
    static bool supersedes(const Peer::Wire::SharedRecord &record, const Entry &entry);
    void evictLeastValuable();
    std::chrono::milliseconds ageOf(const Entry &entry) const;
    Peer::Wire::SharedRecord record(const Entry &entry) const;

    const Core::Clock &m_clock;
    const SharedStateSettings m_settings;
    Receiver m_receiver;
    ValueFunction m_value;
    std::unordered_map<SharedKey, Entry, SharedKeyHash> m_entries;
};

} // namespace Membership
