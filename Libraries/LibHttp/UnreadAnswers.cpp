#include <LibHttp/UnreadAnswers.h>

#include <algorithm>
#include <utility>

namespace Http {

UnreadAnswers::Entry::Entry(std::shared_ptr<UnreadAnswers> answers, bool isRepeatable,
                            std::function<void()> drop)
    : m_answers(std::move(answers))
    , m_isRepeatable(isRepeatable)
    , m_drop(std::move(drop))
{
    m_answers->m_entries.push_back(this);
}

UnreadAnswers::Entry::~Entry()
{
    m_answers->m_entries.remove(this);
}

void UnreadAnswers::Entry::noteUnread(Core::Clock::Monotonic since)
{
    m_isUnread = true;
    m_since = since;
}

bool UnreadAnswers::dropLongestUnread(Core::Clock::Monotonic now)
{
    Entry *longest = nullptr;
    for (auto *entry : m_entries) {
        if (entry->m_isDropped)
            return false;
        if (!entry->m_isUnread || now - entry->m_since < MinUnreadTime)
            continue;
        const auto rank = [](const Entry &it) { return std::pair(!it.m_isRepeatable, it.m_since); };
        if (!longest || rank(*entry) < rank(*longest))
            longest = entry;
    }
    if (!longest)
        return false;
    longest->m_isDropped = true;
    if (onDropped)
        onDropped(longest->m_isRepeatable, now - longest->m_since);
    // The entry may end in this call.
    const auto drop = longest->m_drop;
    drop();
    return true;
}

} // namespace Http
