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
    /// Returns whether bytes of an incomplete event are buffered.
    /// Returns the number of bytes that wait for the end of their event.
    std::size_t partialEventBytes() const { return m_pending.size(); }
    bool hasPartialEvent() const { return !m_pending.empty(); }
    /// Returns the id of the last complete event that had one.
    const std::string &lastId() const { return m_lastId; }
    /// Discards the bytes of an incomplete event.
    void dropPartialEvent() { m_pending.clear(); }

private:
    void noteIds(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
};

} // namespace Http
