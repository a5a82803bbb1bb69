#include <LibCore/Hash.h>
#include <LibRouter/CompletionCall.h>

#include <boost/json.hpp>

namespace Router {

namespace json = boost::json;

namespace {

Core::Error malformed(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::MalformedRequest, detail);
}

const json::value &required(const json::object &body, std::string_view name)
{
    const auto *value = body.if_contains(name);
    if (!value)
        throw malformed("the field '" + std::string(name) + "' is missing");
    return *value;
}

std::string_view requiredText(const json::object &body, std::string_view name)
{
    const auto &value = required(body, name);
    if (!value.is_string())
        throw malformed("the field '" + std::string(name) + "' is not a string");
    return value.get_string();
}

std::string chatText(const json::object &body)
{
    const auto &messages = required(body, "messages");
    if (!messages.is_array() || messages.get_array().empty())
        throw malformed("the field 'messages' is not a non-empty array");
    std::string text;
    for (const auto &message : messages.get_array()) {
        if (!message.is_object())
            throw malformed("an entry of 'messages' is not an object");
        text += requiredText(message.get_object(), "role");
        text += '\n';
        text += requiredText(message.get_object(), "content");
        text += '\n';
    }
    return text;
}

bool readStream(const json::object &body)
{
    const auto *stream = body.if_contains("stream");
    if (!stream || stream->is_null())
        return false;
    if (!stream->is_bool())
        throw malformed("the field 'stream' is not a boolean");
    return stream->get_bool();
}

std::uint64_t readMaxTokens(const json::object &body)
{
    const auto *field = body.if_contains("max_tokens");
    if (!field)
        field = body.if_contains("max_completion_tokens");
    if (!field || field->is_null())
        return 0;
    boost::system::error_code ec;
    const auto count = field->to_number<std::uint64_t>(ec);
    if (ec || count == 0)
        throw malformed("the field 'max_tokens' is not a positive integer");
    return count;
}

} // namespace

Core::Result<CompletionCall> CompletionCall::parse(Kind kind, std::string_view text)
{
    boost::system::error_code ec;
    auto parsed = json::parse(json::string_view(text), ec);
    if (ec)
        return malformed("the body is not valid JSON: " + ec.message());
    if (!parsed.is_object())
        return malformed("the body is not a JSON object");
    try {
        CompletionCall call;
        call.m_kind = kind;
        call.m_body = std::move(parsed.get_object());
        call.m_model = requiredText(call.m_body, "model");
        call.m_promptText = kind == Kind::Chat ? chatText(call.m_body)
                                               : std::string(requiredText(call.m_body, "prompt"));
        call.m_isStream = readStream(call.m_body);
        call.m_maxTokens = readMaxTokens(call.m_body);
        const auto seed = Core::hash64(call.m_model, static_cast<std::uint64_t>(kind));
        call.m_digest = Core::hash64(call.m_promptText, seed);
        return call;
    } catch (const Core::Error &error) {
        return error;
    }
}

std::string_view CompletionCall::path() const
{
    return m_kind == Kind::Chat ? "/v1/chat/completions" : "/v1/completions";
}

std::string CompletionCall::engineBody(std::uint64_t maxTokens, int priority,
                                       std::uint64_t resumeFrom) const
{
    auto body = m_body;
    body["stream"] = true;
    body["max_tokens"] = maxTokens;
    body["priority"] = priority;
    if (resumeFrom > 0)
        body["resume_from"] = resumeFrom;
    return json::serialize(body);
}

} // namespace Router
