#include <LibCore/Error.h>

#include <boost/json.hpp>
#include <jujubectl/InputFile.h>
#include <jujubectl/Trace.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

namespace Jujubectl {

using namespace std::chrono_literals;

namespace {

using Time = std::chrono::sys_time<std::chrono::milliseconds>;

// Events about an upstream within this time before the request may explain its outcome.
constexpr std::chrono::milliseconds UpstreamEventLead = 2s;
// The range of a hundred event numbers for upstreams (docs/EVENTS.md).
constexpr std::int64_t FirstUpstreamEvent = 300;
constexpr std::int64_t LastUpstreamEvent = 399;

struct LogLine
{
    Time time;
    /// The instance, taken from the text before the log line or from the file name.
    std::string source;
    boost::json::object fields;
};

std::string textOf(const boost::json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

std::optional<Time> timeOf(const boost::json::object &fields)
{
    std::istringstream input(textOf(fields, "time"));
    std::tm day {};
    double fraction = 0;
    input >> std::get_time(&day, "%Y-%m-%dT%H:%M:%S");
    if (!input)
        return std::nullopt;
    input >> fraction;
    const auto seconds = std::chrono::system_clock::from_time_t(::timegm(&day));
    const std::chrono::duration<double> part(fraction);
    return std::chrono::time_point_cast<std::chrono::milliseconds>(seconds)
           + std::chrono::duration_cast<std::chrono::milliseconds>(part);
}

/// Parses a log line. Returns nothing for other text, such as the output of other programs.
std::optional<LogLine> readLine(const std::string &text, const std::string &file)
{
    const auto begin = text.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    boost::system::error_code ec;
    const auto value = boost::json::parse(text.substr(begin), ec);
    if (ec || !value.is_object())
        return std::nullopt;
    LogLine line;
    line.fields = value.as_object();
    const auto time = timeOf(line.fields);
    if (!time)
        return std::nullopt;
    line.time = *time;
    // Log collectors put a prefix before the line, whose last word is the instance's name.
    std::istringstream words(text.substr(0, begin));
    for (std::string word; words >> word;)
        line.source = word;
    if (line.source.empty())
        line.source = file;
    return line;
}

std::vector<LogLine> readLines(const std::vector<std::string> &files)
{
    std::vector<LogLine> lines;
    for (const auto &file : files) {
        std::istringstream input(readInput(file));
        for (std::string text; std::getline(input, text);) {
            if (auto line = readLine(text, file))
                lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    });
    return lines;
}

bool isAboutUpstream(const LogLine &line, const std::set<std::string> &upstreams)
{
    const auto *event = line.fields.if_contains("event");
    if (!event || !event->is_int64())
        return false;
    const auto number = event->as_int64();
    return number >= FirstUpstreamEvent && number <= LastUpstreamEvent
           && upstreams.contains(textOf(line.fields, "upstream"));
}

void print(const LogLine &line, std::ostream &out)
{
    out << textOf(line.fields, "time") << ' ' << line.source << ' ' << textOf(line.fields, "name");
    for (const auto &field : line.fields) {
        const std::string_view key = field.key();
        if (key != "time" && key != "name" && key != "level" && key != "event")
            out << ' ' << key << '=' << field.value();
    }
    out << '\n';
}

} // namespace

boost::asio::awaitable<ExitCode> trace(Context &context)
{
    const auto lines = readLines(context.settings.files);
    const auto isOwn = [&](const LogLine &line) {
        return textOf(line.fields, "request") == context.settings.request;
    };
    const auto first = std::find_if(lines.begin(), lines.end(), isOwn);
    if (first == lines.end()) {
        context.err << "no line of request \"" << context.settings.request << "\" in "
                    << lines.size() << " lines\n";
        co_return ExitCode::Failure;
    }
    const auto last = std::find_if(lines.rbegin(), lines.rend(), isOwn);
    std::set<std::string> upstreams;
    for (const auto &line : lines) {
        if (isOwn(line))
            upstreams.insert(textOf(line.fields, "upstream"));
    }
    upstreams.erase("");
    for (const auto &line : lines) {
        const bool isConcurrent =
            line.time >= first->time - UpstreamEventLead && line.time <= last->time;
        if (!isOwn(line) && !(isConcurrent && isAboutUpstream(line, upstreams)))
            continue;
        if (context.settings.json)
            context.out << line.fields << '\n';
        else
            print(line, context.out);
    }
    co_return ExitCode::Success;
}

} // namespace Jujubectl
