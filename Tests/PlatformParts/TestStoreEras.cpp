#include "../StandIns/RawServer.h"

#include <LibCore/Error.h>
#include <LibCore/IoThreads.h>

#include <PlatformLog.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;
using Gateway::LogPosition;

namespace {

/// A store whose next answers the test sets, and the log that reads it.
class Store
{
public:
    /// Sets what is answered from now on: the status, the value of Store-Era if it is not empty,
    /// and the body.
    void answer(unsigned status, const std::string &era, const std::string &body)
    {
        const std::scoped_lock lock(m_mutex);
        m_answer = "HTTP/1.1 " + std::to_string(status) + " Status\r\n"
                   + (era.empty() ? "" : "Store-Era: " + era + "\r\n")
                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string lastTarget() const { return m_server.requests().back().target; }

    Gateway::FleetPage read(LogPosition from, FleetTopic topic = FleetTopic::Journal)
    {
        return run(m_log.read(topic, from, 0ms));
    }
    Gateway::FleetPage newest() { return run(m_log.newest(FleetTopic::Upstreams)); }
    Gateway::AppendOutcome append(std::optional<LogPosition> expectedEnd)
    {
        return run(m_log.append(FleetTopic::Journal, "record", expectedEnd));
    }

private:
    template <typename Value>
    Value run(asio::awaitable<Value> call)
    {
        return asio::co_spawn(m_threads.at(0), std::move(call), asio::use_future).get();
    }

    std::mutex m_mutex;
    std::string m_answer;
    StandIns::RawServer m_server {[this](auto &connection, const auto &) {
        const std::scoped_lock lock(m_mutex);
        connection.send(m_answer);
    }};
    Core::IoThreads m_threads {1};
    Site::PlatformLog m_log {m_server.endpoint()};
};

/// The body of a read without records.
std::string emptyPage(char end)
{
    std::string body(16, '\0');
    body[7] = end;
    return body;
}

constexpr auto List = R"({"items":[{"Key":"w-1","Value":"YQ==","Offset":3}],"HasMore":false,)"
                      R"("End":5})";

} // namespace

TEST_CASE("a read from a position of an earlier era starts again, whatever the answer holds")
{
    Store store;
    store.answer(200, "1", emptyPage(9));
    CHECK(store.read(0).isHistoryTruncated);
    const auto page = store.read({1, 9});
    CHECK_FALSE(page.isHistoryTruncated);
    CHECK(page.next == LogPosition(1, 9));
    CHECK(store.lastTarget().find("From=9&") != std::string::npos);
    const auto [status, body] = GENERATE(table<unsigned, std::string>(
        {{200, emptyPage(12)}, {200, "truncated"}, {410, R"({"First":0})"}, {410, "odd"}}));
    store.answer(status, "2", body);
    const auto next = store.read({1, 9});
    CHECK(next.isHistoryTruncated);
    CHECK(next.next == LogPosition(2, 0));
    CHECK(next.records.empty());
}

TEST_CASE("positions of lists and appended records are of the era that their answer names")
{
    Store store;
    store.answer(200, "4", List);
    const auto page = store.newest();
    CHECK(page.next == LogPosition(4, 5));
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().position == LogPosition(4, 3));
    store.answer(200, "4", R"({"Offset":7,"End":8})");
    const auto outcome = store.append(LogPosition(4, 7));
    CHECK(outcome.isAppended);
    CHECK(outcome.position == LogPosition(4, 7));
    CHECK(store.lastTarget().find("At=7") != std::string::npos);
}

TEST_CASE("a store that names no era is in era 0")
{
    Store store;
    store.answer(200, "", List);
    CHECK(store.newest().next == 5);
    store.answer(410, "", R"({"First":3})");
    CHECK(store.read(1).next == 3);
    store.answer(200, "", R"({"Offset":7,"End":8})");
    CHECK(store.append(7).position == 7);
}

// Guards against a lease that is taken at an offset whose earlier records the writer has not read.
TEST_CASE("an append that expects an end of an earlier era is not taken for one that succeeded")
{
    Store store;
    store.answer(200, "1", R"({"Offset":7,"End":8})");
    CHECK(store.append(std::nullopt).isAppended);
    store.answer(200, "2", R"({"Offset":7,"End":8})");
    const auto outcome = store.append(LogPosition(1, 7));
    CHECK_FALSE(outcome.isAppended);
    CHECK(outcome.position == LogPosition(2, 7));
    // Without a call, once the new era is known.
    store.answer(200, "2", "odd");
    CHECK_FALSE(store.append(LogPosition(1, 7)).isAppended);
    CHECK_THROWS_AS(store.append(LogPosition(2, 7)), Core::Error);
}

TEST_CASE("a late answer of an earlier era is dropped, also one that refuses")
{
    Store store;
    const auto status = GENERATE(200U, 410U, 503U);
    store.answer(503, "2", "");
    CHECK_THROWS_AS(store.read(0), Core::Error);
    store.answer(status, "1", emptyPage(9));
    CHECK_THROWS_AS(store.read({1, 9}), Core::Error);
    store.answer(200, "2", emptyPage(9));
    CHECK(store.read({2, 9}).next == LogPosition(2, 9));
    // A sibling may have seen a later era first.
    CHECK_THROWS_AS(store.read({3, 9}), Core::Error);
}

TEST_CASE("an era that cannot be read changes nothing")
{
    Store store;
    store.answer(200, "2", emptyPage(9));
    CHECK(store.read(0).next == LogPosition(2, 0));
    const std::string era =
        GENERATE(as<std::string>(), "-1", "x", "3x", "", " ", "2.5", "99999999999999999999",
                 std::to_string(LogPosition::MaxEra + 1));
    CAPTURE(era);
    store.answer(200, era, emptyPage(9));
    const auto page = store.read({2, 9});
    CHECK_FALSE(page.isHistoryTruncated);
    CHECK(page.next == LogPosition(2, 9));
}
