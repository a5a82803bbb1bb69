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
    /// Items kept; beyond it the least valuable go.
    std::size_t maxItems = 20'000;
    /// How often an item is passed on by one instance, unless it is renewed.
    unsigned maxTransmissions = 8;
};

/// What an instance knows of the fleet's soft state, its own observations and its siblings'. All
/// of it may be lost or late without anything being wrong.
///
/// Merging is idempotent and does not depend on order: of one key, the higher version wins,
/// and within one version the greater content. Not
/// thread-safe; run it on one strand.
class SharedState
{
public:
    using Receiver = std::function<void(const SharedItem &item, std::chrono::milliseconds age)>;
    using ValueFunction = std::function<double(const SharedItem &item)>;

    /// The receiver is told of each item that siblings sent and that was new.
    SharedState(const Core::Clock &clock, const SharedStateSettings &settings, Receiver receiver,
                ValueFunction value = defaultValue);

    /// Takes in an observation of this instance's own. What is no news (see isSignificantUpdate())
    /// changes nothing until half of the item's lifetime has passed; then it is renewed at the
    /// siblings.
    void publish(const SharedItem &item);

    /// Merges what a sibling sent.
    void receive(const std::vector<Peer::Wire::SharedRecord> &records);

    /// The most valuable items that fit the bytes, by value per byte, halved for each time an item
    /// was passed on already; counts them as passed on once more.
    std::vector<Peer::Wire::SharedRecord> pack(std::size_t maxBytes);

    /// The most valuable items that fit the bytes, whether passed on or not, for a snapshot.
    std::vector<Peer::Wire::SharedRecord> snapshotRecords(std::size_t maxBytes) const;

    /// Forgets what has outlived its lifetime.
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
