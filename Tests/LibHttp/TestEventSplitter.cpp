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
    splitter.resume();
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

TEST_CASE("a resumed stream that does not go on after its last event is out of order")
{
    const std::vector<std::tuple<std::string, std::string, bool>> cases {
        {"9", "id: 10\ndata: a\n\n", false},
        {"9", "id: 12\ndata: a\n\n", false},
        {"9", "id: 9\ndata: a\n\n", true},
        {"10", "id: 9\ndata: a\n\n", true},
        {"9", "id: 1\n\nid: 10\n\n", true},
        {"9", ": wait\n\nid: 10\n\n", false},
        {"9", ": wait\n\nid: 9\n\n", true},
        {"9", "versions: 2\nid: 1\n\n", true},
        {"a", "id: b\n\n", false},
        {"a", "id: a\n\n", true},
        {"9", "data: no id, id: 1\n\n", false},
    };
    for (const auto &[last, events, isOutOfOrder] : cases) {
        for (std::size_t step = 1; step <= events.size(); ++step) {
            INFO("after " << last << " in steps of " << step << ": " << events);
            Http::EventSplitter splitter;
            splitter.feed("id: " + last + "\n\nid: cut");
            splitter.resume();
            std::string passed;
            for (std::size_t at = 0; at < events.size() && !splitter.isOutOfOrder(); at += step)
                passed += splitter.feed(events.substr(at, step));
            CHECK(splitter.isOutOfOrder() == isOutOfOrder);
            CHECK(events.starts_with(passed));
            CHECK((passed == events) != isOutOfOrder);
            if (isOutOfOrder)
                CHECK(splitter.lastId() == last);
        }
    }
}
