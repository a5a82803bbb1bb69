#pragma once

#include <LibCore/Result.h>

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Router {

/// A validated completion request of a caller.
class CompletionCall
{
public:
    enum class Kind {
        Completion,
        Chat,
    };

    /// Parses the JSON body. Fails with MalformedRequest.
    static Core::Result<CompletionCall> parse(Kind kind, std::string_view body);

    Kind kind() const { return m_kind; }
    const std::string &model() const { return m_model; }
    /// Returns the text that engines cache: the prompt, or the concatenated messages of the chat.
    const std::string &promptText() const { return m_promptText; }
    /// Returns whether the caller wants the answer as a stream.
    bool isStream() const { return m_isStream; }
    /// Returns the requested maximum length of the answer in tokens, or 0 when the caller sets
    /// none.
    std::uint64_t maxTokens() const { return m_maxTokens; }
    /// Returns a digest of the prompt, the model and the kind, which is the same for equal
    /// requests.
    std::uint64_t digest() const { return m_digest; }
    /// Returns the path of the request at an engine.
    std::string_view path() const;
    /// Returns the body for an engine. The answer is always streamed and starts at the given token.
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
