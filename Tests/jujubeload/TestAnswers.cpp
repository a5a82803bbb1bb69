#include <LibHttp/EventStreamParser.h>

#include <catch2/catch.hpp>
#include <jujubeload/AnswerBook.h>
#include <jujubeload/StreamedAnswer.h>

using Load::AnswerFault;

namespace {

std::string chunk(const std::string &text)
{
    return Http::formatEvent(R"({"choices":[{"index":0,"text":")" + text + R"("}]})");
}

AnswerFault faultOf(const std::string &body)
{
    Load::StreamedAnswer answer;
    answer.feed(body);
    return answer.finish();
}

constexpr const char *EndEvent = "data: [DONE]\n\n";

} // namespace

TEST_CASE("A complete stream is accepted however its bytes are split")
{
    const auto usage = Http::formatEvent(
        R"({"choices":[{"text":""}],"usage":{"prompt_tokens":40,"completion_tokens":2,)"
        R"("prompt_tokens_details":{"cached_tokens":30}}})");
    const auto body = chunk("one ") + chunk("two") + usage + EndEvent;
    Load::StreamedAnswer answer;
    std::size_t withText = 0;
    for (const char byte : body)
        withText += answer.feed(std::string_view(&byte, 1));
    CHECK(answer.finish() == AnswerFault::None);
    CHECK(answer.text() == "one two");
    CHECK(withText == 2);
    CHECK(answer.usage().promptTokens == 40);
    CHECK(answer.usage().cachedTokens == 30);
    CHECK(answer.usage().completionTokens == 2);
}

TEST_CASE("An incomplete or malformed stream is reported by its fault")
{
    CHECK(faultOf(chunk("one ") + chunk("two")) == AnswerFault::Incomplete);
    CHECK(faultOf(chunk("one ") + "data: [DO") == AnswerFault::Incomplete);
    CHECK(faultOf(EndEvent) == AnswerFault::Incomplete);
    CHECK(faultOf(chunk("one") + EndEvent + chunk("two")) == AnswerFault::AfterEnd);
    CHECK(faultOf(chunk("one") + EndEvent + "data: ") == AnswerFault::Incomplete);
    CHECK(faultOf(chunk("one") + Http::formatEvent("error", "{}") + EndEvent)
          == AnswerFault::ErrorEvent);
    CHECK(faultOf(chunk("one") + Http::formatEvent(R"({"error":{}})") + EndEvent)
          == AnswerFault::ErrorEvent);
    CHECK(faultOf(chunk("one") + Http::formatEvent("{") + EndEvent) == AnswerFault::Malformed);
    CHECK(faultOf(chunk("one") + Http::formatEvent("{}") + EndEvent) == AnswerFault::Malformed);
}

TEST_CASE("An answer without text is a fault")
{
    CHECK(Load::parseWholeAnswer(R"({"choices":[{"text":"yes"}]})").fault == AnswerFault::None);
    CHECK(Load::parseWholeAnswer(R"({"choices":[{"text":""}]})").fault == AnswerFault::Incomplete);
    CHECK(Load::parseWholeAnswer(R"({"choices":[]})").fault == AnswerFault::Malformed);
    CHECK(Load::parseWholeAnswer("not JSON").fault == AnswerFault::Malformed);
}

TEST_CASE("Equal prompts must have equal texts")
{
    Load::AnswerBook book;
    CHECK(book.note("a", "1"));
    CHECK(book.note("b", "2"));
    CHECK(book.note("a", "1"));
    CHECK_FALSE(book.note("a", "2"));
    CHECK(book.prompts() == 2);

    Load::AnswerBook other;
    other.note("b", "2");
    CHECK(other.digest() != book.digest());
    other.note("a", "1");
    CHECK(other.digest() == book.digest());
    Load::AnswerBook crossed;
    crossed.note("a", "2");
    crossed.note("b", "1");
    CHECK(crossed.digest() != book.digest());
}
