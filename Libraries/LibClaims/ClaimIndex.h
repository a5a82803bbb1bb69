#pragma once

#include <LibClaims/ClaimRecord.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Claims {

/// The result of applying a claim or close record in log order.
enum class VerdictKind {
    /// The attempt holds the key permanently, unless it is voided.
    Won,
    /// Another attempt holds the key.
    Lost,
    /// The key is in use with a different request or issue time.
    Conflict,
    /// The key is closed: it has not run and never will.
    KeyClosed,
    /// An attempt of the key ran to completion.
    KeyFinished,
    /// The attempt was voided, or an earlier copy of the same claim lost.
    AttemptEnded,
    /// The record reached the log after the key's window had ended.
    Expired,
    /// The issue time is ahead of the log's clock by more than the allowed skew.
    InFuture,
    /// Records are missing that may have affected the key.
    Uncertain,
};

/// The attempt that holds or held a key, and the instance it belongs to.
struct Holding
{
    AttemptId attempt;
    Holder holder;
};

/// The result of applying one record, with the key's holder if there is one.
struct Verdict
{
    VerdictKind kind = VerdictKind::AttemptEnded;
    std::optional<Holding> holding;
};

/// The state of a key after the records applied so far.
enum class KeyState : std::uint8_t {
    Free,
    Held,
    Closed,
    Finished,
};

/// A snapshot of one key's state after the records applied so far.
struct KeyView
{
    KeyState state = KeyState::Free;
    /// False if records are missing that may have affected the key. A finished key is always
    /// certain.
    bool certain = true;
    IssueTime issuedAt;
    std::uint64_t digest = 0;
    std::optional<Holding> holding;
};

/// State machine over one stream's records in offset order. Each verdict depends only on the
/// preceding records and the log's timestamps, so all readers reach the same verdicts. Expiry also
/// follows the log's timestamps. Not thread-safe.
class ClaimIndex
{
public:
    explicit ClaimIndex(const KeyWindow &window)
        : m_window(window)
    { }

    /// Applies the next record. logTime is when the log accepted it.
    Verdict apply(const ClaimRecord &record, std::chrono::system_clock::time_point logTime);

    /// Returns the state of a key, or nullopt if it has no entry or the entry has expired.
    std::optional<KeyView> find(const ClaimKey &key) const;

    /// Removes all entries after records up to the given time were lost. Keys whose claims may have
    /// been among the lost records are uncertain afterwards.
    void clearAfterLoss(std::chrono::system_clock::time_point lostUntil);

    /// Whether no lost record can have affected a key issued at the given time.
    bool isCertain(IssueTime issuedAt) const;

    std::size_t keyCount() const { return m_entries.size(); }
    /// Returns the heap size in bytes, computed from the capacities of the tables.
    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        IssueTime issuedAt;
        std::uint64_t digest = 0;
        AttemptId attempt;
        std::uint32_t holder = 0;
        KeyState state = KeyState::Free;
    };

    Verdict applyClaim(const ClaimRecord &record);
    Verdict applyClose(const ClaimRecord &record);
    void applyVoid(const ClaimRecord &record);
    void applyFinished(const ClaimRecord &record);
    Verdict reject(const ClaimRecord &record, VerdictKind kind, const Entry &entry);
    Entry *liveEntry(const ClaimKey &key);
    void storeEntry(const ClaimRecord &record, KeyState state);
    std::uint32_t internHolder(const Holder &holder);
    Holding holdingOf(const Entry &entry) const;
    void sweep();

    KeyWindow m_window;
    std::chrono::system_clock::time_point m_logTime {};
    std::chrono::system_clock::time_point m_nextSweep {};
    std::optional<std::chrono::system_clock::time_point> m_certainAfter;
    boost::unordered_flat_map<KeyId, Entry, std::hash<KeyId>> m_entries;
    /// Attempts that lost or were voided, with the issue times of their keys.
    boost::unordered_flat_map<AttemptId, IssueTime, std::hash<AttemptId>> m_endedAttempts;
    std::vector<Holder> m_holders;
};

} // namespace Claims
