#pragma once

#include <string>
#include <string_view>

namespace Http {

/// Passes on a text/event-stream in complete events, with their bytes unchanged.
class EventSplitter
{
public:
    /// Appends bytes and returns the bytes of all events that are now complete.
    std::string feed(std::string_view bytes);
    /// Returns the number of bytes that wait for the end of their event.
    std::size_t partialEventBytes() const { return m_pending.size(); }
    /// Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    /// Returns the id of the last complete event that had one.
    const std::string &lastId() const { return m_lastId; }
    /// Begins with the bytes of another answer, which go on after the event lastId(). Discards the
    /// bytes of an incomplete event.
    void resume();
    /// Returns whether the first event after resume() that had an id does not come after lastId().
    /// feed() then returns nothing.
    bool isOutOfOrder() const { return m_isOutOfOrder; }

private:
    void noteIds(std::string_view events);
    void checkFirstId(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
    bool m_isResuming = false;
    bool m_isOutOfOrder = false;
};

} // namespace Http
