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

/// Cuts a text/event-stream into events, whatever the pieces it arrives in.
class EventStreamParser
{
public:
    /// Adds bytes. Throws Error(UpstreamAnswerMalformed) when one event exceeds the size limit.
    void feed(std::string_view bytes);
    /// The next whole event, if there is one.
    std::optional<ServerSentEvent> next();
    /// Whether bytes of an unfinished event are left over.
    bool hasPartialEvent() const { return m_position < m_pending.size(); }

    static constexpr std::size_t EventLimitBytes = 1024 * 1024;

private:
    std::string m_pending;
    std::size_t m_position = 0;
};

/// The bytes of one event with only data.
std::string formatEvent(std::string_view data);

/// The bytes of one event of the given kind.
std::string formatEvent(std::string_view kind, std::string_view data);

} // namespace Http
