#pragma once

#include <LibClaims/ClaimRecord.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Claims {

/// What the log's order made of a claim or a close.
enum class VerdictKind {
    /// The attempt holds the key, for good.
    Won,
    /// Another attempt holds the key.
    Lost,
    /// The key was taken with another request or another issue time.
    Conflict,
    /// The key is sealed: it never ran and never will.
    KeyClosed,
    /// Another attempt of the key ran to its end.
    KeyFinished,
    /// The attempt was voided, or lost with an earlier copy of the same claim.
    AttemptEnded,
    /// The record reached the log after the key's window.
    Expired,
    /// The issue time lies ahead of the log's clock by more than the skew.
    InFuture,
    /// Records are missing that may have decided the key.
    Uncertain,
};

/// Who holds or held a key.
struct Holding
{
    AttemptId attempt;
    Holder holder;
};

/// The decision on one record, with the holder where there is one.
struct Verdict
{
    VerdictKind kind = VerdictKind::AttemptEnded;
    std::optional<Holding> holding;
};

/// What the log has made of one key so far.
enum class KeyState : std::uint8_t {
    Free,
    Held,
    Closed,
    Finished,
};

/// One key as the log, read so far, shows it.
struct KeyView
{
    KeyState state = KeyState::Free;
    /// Records are missing that may have said otherwise. A finished key is certain all the same.
    bool certain = true;
    IssueTime issuedAt;
    std::uint64_t digest = 0;
    std::optional<Holding> holding;
};

/// The pure fold of one stream's records in offset order: a decision depends on nothing but the
/// records before it and the log's own times, so that any two readers decide alike. Expiry too
/// follows the log's time. Not safe from several threads.
class ClaimIndex
{
public:
    explicit ClaimIndex(const KeyWindow &window)
        : m_window(window)
    { }

    /// Takes the next record; logTime is when the log took it.
    Verdict apply(const ClaimRecord &record, std::chrono::system_clock::time_point logTime);

    /// What is known of a key; empty when the log shows nothing of it.
    std::optional<KeyView> find(const ClaimKey &key) const;

    /// Forgets everything after records up to the given time were lost: keys whose claims could
    /// have been among them are uncertain from now on.
    void clearAfterLoss(std::chrono::system_clock::time_point lostUntil);

    /// Whether lost records may have decided a key issued then.
    bool isCertain(IssueTime issuedAt) const;

    std::size_t keyCount() const { return m_entries.size(); }
    /// Heap bytes, worked out from the tables' capacities.
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
    /// Attempts that lost or were voided, with their keys' issue times.
    boost::unordered_flat_map<AttemptId, IssueTime, std::hash<AttemptId>> m_endedAttempts;
    std::vector<Holder> m_holders;
};

} // namespace Claims
