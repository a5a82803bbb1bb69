#pragma once

#include <LibHttp/EventStreamParser.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Load {

/// The fault in an answer whose body was received completely.
enum class AnswerFault {
    None,
    /// An event of the kind "error", or a chunk that carries one.
    ErrorEvent,
    /// A chunk that is not JSON, or without choices.
    Malformed,
    /// No end marker, an incomplete event at the end, or no text.
    Incomplete,
    /// Events after the end marker.
    AfterEnd,
    /// A text that differs from an earlier answer to the same prompt.
    DifferentText,
};

/// Returns the fault's name in reports.
std::string_view faultName(AnswerFault fault);

/// Token counts of an answer's usage object.
struct AnswerUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Assembles a streamed answer and checks that it is complete.
class StreamedAnswer
{
public:
    /// Parses the next bytes. Returns the number of chunks with text that they complete. Throws as
    /// Http::EventStreamParser does.
    std::size_t feed(std::string_view bytes);
    /// Returns the result after the end of the body: the first fault that was found, if any.
    AnswerFault finish() const;

    const std::string &text() const { return m_text; }
    const AnswerUsage &usage() const { return m_usage; }

private:
    bool takeEvent(const Http::ServerSentEvent &event);
    bool takeChunk(const boost::json::object &chunk);
    void note(AnswerFault fault);

    Http::EventStreamParser m_parser;
    std::string m_text;
    AnswerUsage m_usage;
    AnswerFault m_fault = AnswerFault::None;
    bool m_ended = false;
};

/// An answer that was not streamed.
struct WholeAnswer
{
    AnswerFault fault = AnswerFault::None;
    std::string text;
    AnswerUsage usage;
};

/// Parses the body of an answer that was not streamed.
WholeAnswer parseWholeAnswer(std::string_view body);

} // namespace Load
