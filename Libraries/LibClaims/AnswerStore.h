#pragma once

#include <LibClaims/Outcome.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Claims {

/// Stores the state and the answer of this instance's own attempts, for queries by siblings and for
/// resends. States are kept until they expire. Answers are also limited by total size; the oldest
/// are evicted first. Not thread-safe.
class AnswerStore
{
public:
    explicit AnswerStore(std::size_t answerBytes)
        : m_maxAnswerBytes(answerBytes)
    { }

    void setState(const AttemptId &attempt, HolderState state, IssueTime expiresAt);
    /// Marks the attempt as finished and stores its answer.
    void finish(const AttemptId &attempt, AnswerPointer answer, IssueTime expiresAt);
    /// Returns nullopt for an attempt that has no entry or whose entry has expired.
    std::optional<HolderReply> find(const AttemptId &attempt) const;
    /// Removes all entries whose expiry time has passed.
    void expire(std::chrono::system_clock::time_point now);

    std::size_t answerBytes() const { return m_bytes; }
    std::size_t attemptCount() const { return m_attempts.size(); }

private:
    struct Entry
    {
        HolderReply reply;
        IssueTime expiresAt;
    };

    void dropAnswer(Entry &entry);

    std::size_t m_maxAnswerBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<AttemptId, Entry> m_attempts;
    /// Attempts that finished, oldest first.
    std::deque<AttemptId> m_answered;
};

} // namespace Claims
