#include <LibHttp/EventSplitter.h>

#include <catch2/catch.hpp>

TEST_CASE("events are passed on complete and in order however the bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\ndata: no id\n\n";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        Http::EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            passed += splitter.feed(stream.substr(at, step));
            if (!passed.empty())
                CHECK(passed.ends_with("\n\n"));
        }
        CHECK(passed == stream);
        CHECK_FALSE(splitter.hasPartialEvent());
        CHECK(splitter.lastId() == "2");
    }
}

TEST_CASE("an incomplete event is detected, its id is ignored, and it can be dropped")
{
    Http::EventSplitter splitter;
    CHECK(splitter.feed("id: 7\ndata: a\n\nid: 8\ndata:") == "id: 7\ndata: a\n\n");
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.lastId() == "7");
    splitter.dropPartialEvent();
    CHECK(splitter.feed("id: 8\ndata: b\n\n") == "id: 8\ndata: b\n\n");
    CHECK(splitter.lastId() == "8");
}

TEST_CASE("events that end with CRLF are complete too")
{
    Http::EventSplitter splitter;
    CHECK(splitter.feed("id:3\r\ndata: a\r\n\r\nid: 4\r\n") == "id:3\r\ndata: a\r\n\r\n");
    CHECK(splitter.lastId() == "3");
}

TEST_CASE("blank lines of any kind are found when they are split over reads")
{
    const std::string stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        Http::EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += step)
            passed += splitter.feed(stream.substr(at, step));
        CHECK(passed == stream);
        CHECK_FALSE(splitter.hasPartialEvent());
    }
}
