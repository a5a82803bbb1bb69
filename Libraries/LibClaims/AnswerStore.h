#pragma once

#include <LibClaims/Outcome.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Claims {

/// What became of this instance's own attempts that won a key, for siblings and resends: states
/// for as long as the key may be asked for, answers also within a bound on bytes (the oldest go
/// first). Not safe from several threads.
class AnswerStore
{
public:
    explicit AnswerStore(std::size_t answerBytes)
        : m_maxAnswerBytes(answerBytes)
    { }

    void setState(const AttemptId &attempt, HolderState state, IssueTime expiresAt);
    /// Marks the attempt as finished with its answer.
    void finish(const AttemptId &attempt, AnswerPointer answer, IssueTime expiresAt);
    /// Empty for an attempt that never held a key, or whose key is forgotten.
    std::optional<HolderReply> find(const AttemptId &attempt) const;
    /// Drops everything whose time has come.
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
    /// Attempts with an answer, the oldest first.
    std::deque<AttemptId> m_answered;
};

} // namespace Claims
