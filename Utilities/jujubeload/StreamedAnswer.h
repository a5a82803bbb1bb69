#pragma once

#include <LibHttp/EventStreamParser.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Load {

/// What was wrong with an answer that came to its proper end.
enum class AnswerFault {
    None,
    /// An event of the kind "error", or a chunk that carries one.
    ErrorEvent,
    /// A chunk that is not JSON, or without choices.
    Malformed,
    /// No end mark, bytes of an unfinished event, or no text.
    Incomplete,
    /// Events after the end mark.
    AfterEnd,
    /// Another text than an earlier answer to an equal prompt.
    DifferentText,
};

/// The fault's name in reports.
std::string_view faultName(AnswerFault fault);

/// Token counts of an answer's usage object.
struct AnswerUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Puts a streamed answer together and checks that it is whole.
class StreamedAnswer
{
public:
    /// Takes the next bytes. Returns how many chunks with text they complete. Throws as
    /// Http::EventStreamParser does.
    std::size_t feed(std::string_view bytes);
    /// The verdict once the body has ended; the first fault seen counts.
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

/// A whole, not streamed, answer.
struct WholeAnswer
{
    AnswerFault fault = AnswerFault::None;
    std::string text;
    AnswerUsage usage;
};

/// Reads the body of a whole answer.
WholeAnswer parseWholeAnswer(std::string_view body);

} // namespace Load
