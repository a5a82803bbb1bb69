#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace Http {

/// The answers that are being sent to callers, with the time since when each caller has accepted no
/// bytes. To be used on one thread.
///
/// Addresses callers that read nothing: what is held for them stays in memory until they read it,
/// and takes the room of answers whose callers do read.
class UnreadAnswers
{
public:
    /// A caller that has accepted bytes within this time counts as reading.
    static constexpr std::chrono::milliseconds MinUnreadTime {1'000};

    /// An answer that is being sent, for the lifetime of the object.
    class Entry
    {
    public:
        /// The hook drops the answer; its memory is returned later. An answer is repeatable if the
        /// caller can obtain it again: of an idempotent request, or a resumable stream.
        Entry(std::shared_ptr<UnreadAnswers> answers, bool isRepeatable,
              std::function<void()> drop);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        /// Records that bytes wait for the caller since then.
        void noteUnread(Core::Clock::Monotonic since);
        /// Records that the caller has accepted all bytes.
        void noteRead() { m_isUnread = false; }

    private:
        friend class UnreadAnswers;

        std::shared_ptr<UnreadAnswers> m_answers;
        bool m_isRepeatable;
        std::function<void()> m_drop;
        bool m_isUnread = false;
        bool m_isDropped = false;
        Core::Clock::Monotonic m_since;
    };

    /// Drops the answer that its caller has left unread for the longest, repeatable ones before
    /// others. Returns false if there is none, or if one was dropped whose memory is not yet
    /// returned.
    bool dropLongestUnread(Core::Clock::Monotonic now);

    /// Called when an answer is dropped, with whether it is repeatable and for how long it was
    /// unread. May be empty.
    std::function<void(bool isRepeatable, std::chrono::nanoseconds unread)> onDropped;

private:
    std::list<Entry *> m_entries;
};

} // namespace Http
