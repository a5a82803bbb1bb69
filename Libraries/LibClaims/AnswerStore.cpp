#include <LibClaims/AnswerStore.h>

namespace Claims {

namespace {

std::size_t sizeOf(const StoredAnswer &answer)
{
    return sizeof(StoredAnswer) + answer.contentType.size() + answer.body.size();
}

} // namespace

void AnswerStore::setState(const AttemptId &attempt, HolderState state, IssueTime expiresAt)
{
    m_attempts[attempt] = {{state, nullptr}, expiresAt};
}

void AnswerStore::finish(const AttemptId &attempt, AnswerPointer answer, IssueTime expiresAt)
{
    auto &entry = m_attempts[attempt];
    dropAnswer(entry);
    m_bytes += answer ? sizeOf(*answer) : 0;
    entry = {{HolderState::Finished, std::move(answer)}, expiresAt};
    m_answered.push_back(attempt);
    while (m_bytes > m_maxAnswerBytes && !m_answered.empty()) {
        const auto oldest = m_attempts.find(m_answered.front());
        if (oldest != m_attempts.end())
            dropAnswer(oldest->second);
        m_answered.pop_front();
    }
}

std::optional<HolderReply> AnswerStore::find(const AttemptId &attempt) const
{
    const auto it = m_attempts.find(attempt);
    return it == m_attempts.end() ? std::nullopt : std::optional(it->second.reply);
}

void AnswerStore::expire(std::chrono::system_clock::time_point now)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        if (it->second.expiresAt >= now) {
            ++it;
            continue;
        }
        dropAnswer(it->second);
        it = m_attempts.erase(it);
    }
    while (!m_answered.empty() && !m_attempts.contains(m_answered.front()))
        m_answered.pop_front();
}

void AnswerStore::dropAnswer(Entry &entry)
{
    if (!entry.reply.answer)
        return;
    m_bytes -= sizeOf(*entry.reply.answer);
    entry.reply.answer = nullptr;
}

} // namespace Claims
