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

/// Sets up logging for the process. Call once, before the first event. Events go to standard error.
void configureEventLog(LogFormat format, EventLevel lowest);

/// Writes one event of the catalogue with its fields. Safe from any thread.
void logEvent(EventId id, std::initializer_list<EventField> fields = {});

} // namespace Core
