#include <LibCore/Error.h>
#include <LibHttp/EventStreamParser.h>

#include <catch2/catch.hpp>

#include <random>

TEST_CASE("events are parsed completely however the bytes are split")
{
    const std::string text = ": comment\n\ndata: one\n\nevent: error\r\ndata: two\r\n\r\n"
                             "data: a\ndata: b\n\n";
    std::mt19937_64 rng(7);
    for (int round = 0; round < 200; ++round) {
        Http::EventStreamParser parser;
        std::vector<Http::ServerSentEvent> events;
        for (std::size_t at = 0; at < text.size();) {
            const auto n = std::uniform_int_distribution<std::size_t>(1, 9)(rng);
            parser.feed(std::string_view(text).substr(at, n));
            at += n;
            while (auto event = parser.next())
                events.push_back(*event);
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0].data == "one");
        CHECK(events[1].kind == "error");
        CHECK(events[1].data == "two");
        CHECK(events[2].data == "a\nb");
        CHECK_FALSE(parser.hasPartialEvent());
    }
}

TEST_CASE("an event above the size limit is rejected")
{
    Http::EventStreamParser parser;
    CHECK_THROWS_AS(parser.feed(std::string(Http::EventStreamParser::EventLimitBytes + 1, 'x')),
                    Core::Error);
}
