#pragma once

#include <LibCore/Result.h>

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Router {

/// A caller's completion request, checked.
class CompletionCall
{
public:
    enum class Kind {
        Completion,
        Chat,
    };

    /// Reads the JSON body. Fails with MalformedRequest.
    static Core::Result<CompletionCall> parse(Kind kind, std::string_view body);

    Kind kind() const { return m_kind; }
    const std::string &model() const { return m_model; }
    /// The text that engines cache: the prompt, or the chat's messages one after the other.
    const std::string &promptText() const { return m_promptText; }
    /// Whether the caller wants the answer as a stream.
    bool isStream() const { return m_isStream; }
    /// The longest answer asked for, in tokens; 0 when the caller does not say.
    std::uint64_t maxTokens() const { return m_maxTokens; }
    /// Names equal requests: a digest of the prompt, the model and the kind.
    std::uint64_t digest() const { return m_digest; }
    /// The request's path at an engine.
    std::string_view path() const;
    /// The body for an engine, always streamed, from the given token on.
    std::string engineBody(std::uint64_t maxTokens, int priority, std::uint64_t resumeFrom) const;

private:
    CompletionCall() = default;

    Kind m_kind = Kind::Completion;
    boost::json::object m_body;
    std::string m_model;
    std::string m_promptText;
    bool m_isStream = false;
    std::uint64_t m_maxTokens = 0;
    std::uint64_t m_digest = 0;
};

} // namespace Router
