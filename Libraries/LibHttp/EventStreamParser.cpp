#include <LibCore/Error.h>
#include <LibHttp/EventStreamParser.h>

namespace Http {

namespace {

struct Boundary
{
    std::size_t at;
    std::size_t length;
};

/// Finds the blank line that ends an event; lines end with LF or CRLF.
std::optional<Boundary> findBoundary(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n")
            return Boundary {at, 2};
        if (text.substr(at + 1, 2) == "\r\n")
            return Boundary {at, 3};
    }
    return std::nullopt;
}

void applyLine(ServerSentEvent &event, std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "event")
        event.kind = value;
    if (name != "data")
        return;
    if (!event.data.empty())
        event.data += '\n';
    event.data += value;
}

} // namespace

void EventStreamParser::feed(std::string_view bytes)
{
    m_pending.erase(0, m_position);
    m_position = 0;
    m_pending += bytes;
    if (m_pending.size() > EventLimitBytes && !findBoundary(m_pending))
        throw Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                          "an event of the stream is too large");
}

std::optional<ServerSentEvent> EventStreamParser::next()
{
    while (true) {
        const auto rest = std::string_view(m_pending).substr(m_position);
        const auto boundary = findBoundary(rest);
        if (!boundary)
            return std::nullopt;
        ServerSentEvent event;
        auto block = rest.substr(0, boundary->at);
        m_position += boundary->at + boundary->length;
        while (true) {
            const auto end = block.find('\n');
            applyLine(event, block.substr(0, end));
            if (end == std::string_view::npos)
                break;
            block.remove_prefix(end + 1);
        }
        if (!event.data.empty() || !event.kind.empty())
            return event;
    }
}

std::string formatEvent(std::string_view data)
{
    std::string text = "data: ";
    text += data;
    text += "\n\n";
    return text;
}

std::string formatEvent(std::string_view kind, std::string_view data)
{
    std::string text = "event: ";
    text += kind;
    text += '\n';
    return text + formatEvent(data);
}

} // namespace Http
