#pragma once

#include <LibCore/EventCatalogue.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Core {

enum class LogFormat {
    Json,
    Text,
};

/// One named value of an event.
struct EventField
{
    std::string_view name;
    std::string value;
};

/// Where log lines are written.
enum class LogTarget {
    /// For programs that write their results to standard output.
    StandardError,
    /// Never blocks on the reader, and limits the rate of lines below warning level. Dropped lines
    /// are counted and reported (event lines_left_out).
    BoundedStandardOutput,
};

/// Configures logging for the process. Call once, before the first event.
void configureEventLog(LogFormat format, EventLevel lowest,
                       LogTarget target = LogTarget::StandardError);

/// Writes one event of the catalogue with its fields. Safe from any thread.
void logEvent(EventId id, std::initializer_list<EventField> fields = {});

} // namespace Core
