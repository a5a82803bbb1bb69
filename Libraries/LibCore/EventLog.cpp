#include <LibCore/EventLog.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace Core {

namespace {

constexpr const char *LoggerName = "events";
std::atomic<LogFormat> theFormat {LogFormat::Text};
std::atomic<EventLevel> theLowestLevel {EventLevel::Info};
std::atomic<bool> theIsConfigured {false};
std::once_flag theSetUp;

/// Sends every line to standard error, because standard output belongs to the programs' answers.
class StandardErrorSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        std::cerr << data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true)
                  << std::flush;
    }
};

std::string_view levelName(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "error";
}

std::string render(const EventRow &row, std::initializer_list<EventField> fields)
{
    const auto number = static_cast<unsigned>(row.id);
    if (theFormat.load(std::memory_order_relaxed) == LogFormat::Json) {
        boost::json::object line;
        line["event"] = number;
        line["level"] = levelName(row.level);
        line["name"] = row.name;
        for (const auto &field : fields)
            line[field.name] = field.value;
        return boost::json::serialize(line);
    }
    std::ostringstream text;
    text << 'E' << number << ' ' << levelName(row.level) << ' ' << row.name;
    for (const auto &field : fields)
        text << ' ' << field.name << "="
             << boost::json::serialize(boost::json::string(field.value));
    return text.str();
}

} // namespace

void configureEventLog(LogFormat format, EventLevel lowest)
{
    theIsConfigured = true;
    theFormat = format;
    theLowestLevel = lowest;
    el::Configurations configurations;
    configurations.setToDefault();
    const char *pattern = format == LogFormat::Json ? "%msg" : "%datetime %msg";
    configurations.setGlobally(el::ConfigurationType::Format, pattern);
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger(LoggerName, configurations);
    el::Helpers::installLogDispatchCallback<StandardErrorSink>("StandardErrorSink");
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    // Programs that set nothing up, such as unit tests, get readable text.
    std::call_once(theSetUp, [] {
        if (!theIsConfigured)
            configureEventLog(theFormat, theLowestLevel);
    });
    const auto &row = eventRow(id);
    if (row.level < theLowestLevel.load(std::memory_order_relaxed))
        return;
    const auto text = render(row, fields);
    switch (row.level) {
    case EventLevel::Debug:
    case EventLevel::Info:
        CLOG(INFO, LoggerName) << text;
        return;
    case EventLevel::Warning:
        CLOG(WARNING, LoggerName) << text;
        return;
    case EventLevel::Error:
        CLOG(ERROR, LoggerName) << text;
        return;
    }
}

} // namespace Core
