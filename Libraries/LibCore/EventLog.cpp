#include <LibCore/EventLog.h>
#include <LibCore/LineWriter.h>
#include <LibCore/LogRateLimiter.h>

#include <boost/json.hpp>
#include <easylogging++.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace Core {

namespace {

constexpr const char *LoggerName = "events";
std::atomic<LogFormat> theFormat {LogFormat::Text};
std::atomic<EventLevel> theLowestLevel {EventLevel::Info};
std::atomic<bool> theIsConfigured {false};
std::once_flag theConfigureOnce;

// Maximum number of bytes buffered while the reader of standard output is stalled.
constexpr std::size_t PendingBytes = 256 * 1024;
constexpr std::chrono::seconds DroppedReportInterval {1};

/// Limits the output to standard output and counts the lines that were dropped.
class BoundedOutput
{
public:
    bool admit(EventLevel level, Clock::Monotonic now)
    {
        const std::scoped_lock lock(m_mutex);
        return m_rateLimiter.admit(level, now);
    }

    void write(std::string_view line, bool isImportant)
    {
        const std::scoped_lock lock(m_mutex);
        m_writer.write(line, isImportant);
    }

    /// Returns and resets the number of dropped lines, at most once per interval; otherwise 0.
    std::uint64_t takeDroppedCount(Clock::Monotonic now)
    {
        const std::scoped_lock lock(m_mutex);
        if (now - m_lastReport < DroppedReportInterval)
            return 0;
        m_lastReport = now;
        return m_rateLimiter.takeDroppedCount() + m_writer.takeDroppedCount();
    }

private:
    std::mutex m_mutex;
    LogRateLimiter m_rateLimiter;
    LineWriter m_writer {STDOUT_FILENO, PendingBytes};
    Clock::Monotonic m_lastReport;
};

std::unique_ptr<BoundedOutput> theBoundedOutput;

/// Writes every line to the configured target.
class TargetSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        if (theBoundedOutput) {
            const auto line =
                data->logMessage()->logger()->logBuilder()->build(data->logMessage(), false);
            theBoundedOutput->write(line, data->logMessage()->level() != el::Level::Info);
            return;
        }
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

/// Returns the current date and time in UTC with millisecond precision.
std::string calendarTime()
{
    const auto now = SystemClock().wallNow();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
        % std::milli::den;
    std::tm parts {};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + n, text.size() - n, ".%03dZ", static_cast<int>(milliseconds));
    return text.data();
}

std::string render(const EventRow &row, std::initializer_list<EventField> fields)
{
    const auto number = static_cast<unsigned>(row.id);
    if (theFormat.load(std::memory_order_relaxed) == LogFormat::Json) {
        boost::json::object line;
        line["time"] = calendarTime();
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

void writeLine(EventLevel level, const std::string &text)
{
    switch (level) {
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

} // namespace

void configureEventLog(LogFormat format, EventLevel lowest, LogTarget target)
{
    theBoundedOutput =
        target == LogTarget::BoundedStandardOutput ? std::make_unique<BoundedOutput>() : nullptr;
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
    el::Helpers::installLogDispatchCallback<TargetSink>("TargetSink");
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    // Programs that do not configure logging, such as unit tests, use the text format.
    std::call_once(theConfigureOnce, [] {
        if (!theIsConfigured)
            configureEventLog(theFormat, theLowestLevel);
    });
    const auto &row = eventRow(id);
    if (row.level < theLowestLevel.load(std::memory_order_relaxed))
        return;
    if (theBoundedOutput) {
        const auto now = SystemClock().now();
        if (!theBoundedOutput->admit(row.level, now))
            return;
        if (const auto count = theBoundedOutput->takeDroppedCount(now); count > 0)
            writeLine(EventLevel::Warning,
                      render(eventRow(EventId::LinesLeftOut), {{"lines", std::to_string(count)}}));
    }
    writeLine(row.level, render(row, fields));
}

} // namespace Core
