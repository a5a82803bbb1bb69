#pragma once

#include <LibCore/Result.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Router {

/// A validated event of an engine's completion stream.
class CompletionChunk
{
public:
    /// Parses the event's data. Fails with UpstreamAnswerMalformed when it is not a chunk, or when
    /// it answers a request other than the given one.
    static Core::Result<CompletionChunk> parse(std::string_view data, std::string_view requestId);

    /// Returns the position of the chunk's token in the answer, if the engine reports it.
    std::optional<std::uint64_t> tokenIndex() const { return m_tokenIndex; }
    /// Returns the text that the chunk adds to the answer.
    const std::string &text() const { return m_text; }
    /// Returns whether the answer ends with this chunk.
    bool isLast() const { return m_isLast; }
    std::optional<std::uint64_t> promptTokens() const { return m_promptTokens; }
    std::optional<std::uint64_t> cachedTokens() const { return m_cachedTokens; }
    /// Returns the chunk as sent to the caller: the engine's chunk with the public id and model
    /// name.
    std::string forCaller(std::string_view publicId, std::string_view model,
                          std::uint64_t completionTokens) const;

private:
    CompletionChunk() = default;
    void readChoice();
    void readUsage();

    boost::json::object m_body;
    std::string m_text;
    std::optional<std::uint64_t> m_tokenIndex;
    std::optional<std::uint64_t> m_promptTokens;
    std::optional<std::uint64_t> m_cachedTokens;
    bool m_isLast = false;
};

} // namespace Router
