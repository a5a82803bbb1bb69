#include <LibRouter/CompletionChunk.h>

#include <boost/json.hpp>

namespace Router {

namespace json = boost::json;

namespace {

Core::Error malformed(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::UpstreamAnswerMalformed, detail);
}

std::optional<std::uint64_t> numberAt(const json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains(name);
    if (!value || !value->is_number())
        return std::nullopt;
    boost::system::error_code ec;
    const auto number = value->to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional(number);
}

const json::object *objectAt(const json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains(name);
    return value ? value->if_object() : nullptr;
}

/// Returns whether a chunk answers the given request. Engines prepend their own prefix to the
/// request id.
bool answersRequest(const json::object &body, std::string_view requestId)
{
    const auto *id = body.if_contains("id");
    return id && id->is_string() && std::string_view(id->get_string()).ends_with(requestId);
}

} // namespace

Core::Result<CompletionChunk> CompletionChunk::parse(std::string_view data,
                                                     std::string_view requestId)
{
    boost::system::error_code ec;
    auto parsed = json::parse(json::string_view(data), ec);
    if (ec || !parsed.is_object())
        return malformed("a chunk is not a JSON object");
    CompletionChunk chunk;
    chunk.m_body = std::move(parsed.get_object());
    if (!answersRequest(chunk.m_body, requestId))
        return malformed("a chunk answers another request");
    try {
        chunk.readChoice();
        chunk.readUsage();
    } catch (const Core::Error &error) {
        return error;
    }
    return chunk;
}

void CompletionChunk::readChoice()
{
    m_tokenIndex = numberAt(m_body, "token_index");
    const auto *choices = m_body.if_contains("choices");
    if (!choices || !choices->is_array())
        throw malformed("a chunk has no choices");
    // A chunk that contains only the usage has an empty list.
    if (choices->get_array().empty())
        return;
    const auto *choice = choices->get_array().front().if_object();
    if (!choice)
        throw malformed("a chunk's choice is not an object");
    const auto *delta = objectAt(*choice, "delta");
    const auto *text = delta ? delta->if_contains("content") : choice->if_contains("text");
    if (text && text->is_string())
        m_text = text->get_string();
    const auto *reason = choice->if_contains("finish_reason");
    m_isLast = reason && reason->is_string();
}

void CompletionChunk::readUsage()
{
    const auto *usage = objectAt(m_body, "usage");
    if (!usage)
        return;
    m_promptTokens = numberAt(*usage, "prompt_tokens");
    if (const auto *details = objectAt(*usage, "prompt_tokens_details"))
        m_cachedTokens = numberAt(*details, "cached_tokens");
}

std::string CompletionChunk::forCaller(std::string_view publicId, std::string_view model,
                                       std::uint64_t completionTokens) const
{
    auto body = m_body;
    body["id"] = publicId;
    body["model"] = model;
    body.erase("token_index");
    if (auto *usage = body.if_contains("usage"); usage && usage->is_object()) {
        // After a resume, the engine counts only its own tokens.
        usage->get_object()["completion_tokens"] = completionTokens;
        usage->get_object()["total_tokens"] = completionTokens + m_promptTokens.value_or(0);
    }
    return json::serialize(body);
}

} // namespace Router
