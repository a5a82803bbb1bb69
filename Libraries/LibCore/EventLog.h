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

/// Where the lines of events go.
enum class LogTarget {
    /// For programs whose standard output belongs to their answers.
    StandardError,
    /// Never waits for the reader, and bounds the lines a second below warning. What is left out is
    /// counted and said (lines_left_out).
    BoundedStandardOutput,
};

/// Sets up logging for the process. Call once, before the first event.
void configureEventLog(LogFormat format, EventLevel lowest,
                       LogTarget target = LogTarget::StandardError);

/// Writes one event of the catalogue with its fields. Safe from any thread.
void logEvent(EventId id, std::initializer_list<EventField> fields = {});

} // namespace Core
