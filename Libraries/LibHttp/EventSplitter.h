#pragma once

#include <string>
#include <string_view>

namespace Http {

/// Cuts a text/event-stream behind its whole events, keeping their bytes as they came.
class EventSplitter
{
public:
    /// Adds bytes and returns those of all events that are whole now.
    std::string feed(std::string_view bytes);
    /// Whether bytes of an unfinished event are left over.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    /// The id of the last whole event that had one.
    const std::string &lastId() const { return m_lastId; }
    /// Drops the bytes of an unfinished event.
    void dropPartialEvent() { m_pending.clear(); }

private:
    void noteIds(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
};

} // namespace Http
