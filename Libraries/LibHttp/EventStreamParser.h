#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Http {

/// One event of a text/event-stream.
struct ServerSentEvent
{
    /// The "event" field; empty for the default kind.
    std::string kind;
    std::string data;
};

/// Parses a text/event-stream incrementally, independent of how the bytes are split.
class EventStreamParser
{
public:
    /// Appends bytes. Throws Error(UpstreamAnswerMalformed) when one event exceeds the size limit.
    void feed(std::string_view bytes);
    /// Returns the next complete event, if there is one.
    std::optional<ServerSentEvent> next();
    /// Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return m_position < m_pending.size(); }

    static constexpr std::size_t EventLimitBytes = 1024 * 1024;

private:
    std::string m_pending;
    std::size_t m_position = 0;
};

/// Formats an event that has only data.
std::string formatEvent(std::string_view data);

/// Formats an event of the given kind.
std::string formatEvent(std::string_view kind, std::string_view data);

} // namespace Http
