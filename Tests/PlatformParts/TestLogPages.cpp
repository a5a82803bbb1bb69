#include "../StandIns/RawServer.h"

#include <LibCore/Error.h>
#include <LibCore/IoThreads.h>

#include <PlatformLog.h>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstring>
#include <future>
#include <string>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

template <typename Number>
std::string bigEndian(Number number)
{
    const auto big = boost::endian::native_to_big(number);
    std::string bytes(sizeof(big), '\0');
    std::memcpy(bytes.data(), &big, sizeof(big));
    return bytes;
}

std::string framed(const std::string &record)
{
    return bigEndian(static_cast<std::uint32_t>(record.size())) + record;
}

std::string keyed(const std::string &key, const std::string &value)
{
    return framed(std::string(1, static_cast<char>(key.size())) + key + value);
}

std::string head(std::uint64_t end)
{
    return bigEndian(end) + bigEndian(std::uint64_t {0});
}

} // namespace

TEST_CASE("a record that is shorter than its key does not hide the records around it")
{
    const std::string odd = GENERATE(std::string(), std::string("\x05"), std::string("\xff w-2"));
    CAPTURE(odd);
    const auto body = head(8) + keyed("w-1", "first") + framed(odd) + keyed("w-3", "third");
    const auto page = Site::decodeRecords(body, 5, true);
    CHECK(page.next == 8);
    CHECK(page.isComplete);
    // Readers rely on consecutive offsets.
    REQUIRE(page.records.size() == 3);
    CHECK(page.records[0].key == "w-1");
    CHECK(page.records[0].position == 5);
    CHECK(page.records[1].key.empty());
    CHECK(page.records[1].position == 6);
    // It deletes nothing either.
    CHECK(page.records[1].value == "");
    CHECK(page.records[2].key == "w-3");
    CHECK(page.records[2].value == "third");
    CHECK(page.records[2].position == 7);
}

TEST_CASE("a body that was truncated in transit is refused as a whole")
{
    const auto body = head(7) + keyed("w-1", "first") + keyed("w-2", "second");
    for (std::size_t size = 0; size < body.size(); ++size) {
        // What ends between two records is a page of fewer records.
        if (size == head(7).size() || size == (head(7) + keyed("w-1", "first")).size())
            continue;
        CAPTURE(size);
        CHECK_THROWS_AS(Site::decodeRecords(body.substr(0, size), 5, true), Core::Error);
    }
}

TEST_CASE("a cancelled read of a store that does not answer ends at once, with its connection")
{
    StandIns::RawServer store([](auto &connection, const auto &) { connection.keep(); });
    Core::IoThreads threads {1};
    Site::PlatformLog log(store.endpoint());
    asio::cancellation_signal cancellation;
    std::promise<void> ended;
    asio::co_spawn(threads.at(0), log.read(Gateway::FleetTopic::Upstreams, 0, 30s),
                   asio::bind_cancellation_slot(
                       cancellation.slot(), [&ended](auto, const auto &) { ended.set_value(); }));
    const auto end = std::chrono::steady_clock::now() + 10s;
    const auto isEarly = [end] { return std::chrono::steady_clock::now() < end; };
    while (store.requests().empty() && isEarly())
        std::this_thread::sleep_for(5ms);
    asio::post(threads.at(0), [&] { cancellation.emit(asio::cancellation_type::terminal); });
    REQUIRE(ended.get_future().wait_for(5s) == std::future_status::ready);
    while (store.openConnections() > 0 && isEarly())
        std::this_thread::sleep_for(5ms);
    CHECK(store.openConnections() == 0);
}
