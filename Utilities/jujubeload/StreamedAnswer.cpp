#include <boost/json.hpp>
#include <jujubeload/StreamedAnswer.h>

namespace Load {

namespace json = boost::json;

namespace {

constexpr std::string_view EndMark = "[DONE]";

const json::object *objectAt(const json::object &parent, std::string_view name)
{
    const auto *value = parent.if_contains(name);
    return value == nullptr ? nullptr : value->if_object();
}

std::uint64_t numberAt(const json::object &parent, std::string_view name)
{
    const auto *value = parent.if_contains(name);
    boost::system::error_code ec;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(ec);
    return ec ? 0 : number;
}

AnswerUsage usageOf(const json::object &usage)
{
    AnswerUsage counts;
    counts.promptTokens = numberAt(usage, "prompt_tokens");
    counts.completionTokens = numberAt(usage, "completion_tokens");
    if (const auto *details = objectAt(usage, "prompt_tokens_details"))
        counts.cachedTokens = numberAt(*details, "cached_tokens");
    return counts;
}

/// Returns the text of the first choice, or nothing if there is none.
std::optional<std::string> textOf(const json::object &answer)
{
    const auto *choices = answer.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty())
        return std::nullopt;
    const auto *choice = choices->get_array().front().if_object();
    if (choice == nullptr)
        return std::nullopt;
    const auto *text = choice->if_contains("text");
    if (text == nullptr || !text->is_string())
        return std::nullopt;
    return std::string(text->get_string());
}

} // namespace

std::string_view faultName(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::None:
        return "none";
    case AnswerFault::ErrorEvent:
        return "error-event";
    case AnswerFault::Malformed:
        return "malformed-answer";
    case AnswerFault::Incomplete:
        return "incomplete-answer";
    case AnswerFault::AfterEnd:
        return "events-after-end";
    case AnswerFault::DifferentText:
        return "different-text";
    }
    return "unknown";
}

std::size_t StreamedAnswer::feed(std::string_view bytes)
{
    m_parser.feed(bytes);
    std::size_t withText = 0;
    while (const auto event = m_parser.next()) {
        if (takeEvent(*event))
            ++withText;
    }
    return withText;
}

AnswerFault StreamedAnswer::finish() const
{
    if (m_fault != AnswerFault::None)
        return m_fault;
    if (!m_ended || m_parser.hasPartialEvent() || m_text.empty())
        return AnswerFault::Incomplete;
    return AnswerFault::None;
}

bool StreamedAnswer::takeEvent(const Http::ServerSentEvent &event)
{
    if (m_ended) {
        note(AnswerFault::AfterEnd);
        return false;
    }
    if (event.kind == "error") {
        note(AnswerFault::ErrorEvent);
        return false;
    }
    if (event.data == EndMark) {
        m_ended = true;
        return false;
    }
    boost::system::error_code ec;
    const auto parsed = json::parse(event.data, ec);
    if (ec || !parsed.is_object()) {
        note(AnswerFault::Malformed);
        return false;
    }
    return takeChunk(parsed.get_object());
}

bool StreamedAnswer::takeChunk(const json::object &chunk)
{
    if (chunk.contains("error")) {
        note(AnswerFault::ErrorEvent);
        return false;
    }
    const auto *usage = objectAt(chunk, "usage");
    if (usage != nullptr)
        m_usage = usageOf(*usage);
    const auto text = textOf(chunk);
    if (!text) {
        // A chunk that contains only the usage has no choices.
        if (usage == nullptr)
            note(AnswerFault::Malformed);
        return false;
    }
    m_text += *text;
    return !text->empty();
}

void StreamedAnswer::note(AnswerFault fault)
{
    if (m_fault == AnswerFault::None)
        m_fault = fault;
}

WholeAnswer parseWholeAnswer(std::string_view body)
{
    WholeAnswer answer;
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    const auto *object = ec ? nullptr : parsed.if_object();
    const auto text = object == nullptr ? std::nullopt : textOf(*object);
    if (!text) {
        answer.fault = AnswerFault::Malformed;
        return answer;
    }
    answer.text = *text;
    if (text->empty())
        answer.fault = AnswerFault::Incomplete;
    if (const auto *usage = objectAt(*object, "usage"))
        answer.usage = usageOf(*usage);
    return answer;
}

} // namespace Load
