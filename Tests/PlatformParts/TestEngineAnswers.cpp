#include "../StandIns/RawServer.h"

#include <LibCore/IoThreads.h>

#include <PlatformEngines.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace {

std::string answer(int sequence)
{
    const auto body = R"({"Seq":)" + std::to_string(sequence) + R"(,"Models":[]})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a late copy of a report is not taken for the next one")
{
    int calls = 0;
    StandIns::RawServer server([&](auto &connection, const auto &) {
        connection.keep();
        if (++calls == 2)
            connection.send(answer(1));
        connection.send(answer(calls));
    });
    Core::IoThreads threads {1};
    Site::PlatformEngines engines;
    Gateway::UpstreamReport report;
    report.id = Core::UpstreamId("e");
    report.endpoint = server.endpoint();
    const auto state = [&] {
        return boost::asio::co_spawn(threads.at(0), engines.state(report), boost::asio::use_future)
            .get();
    };
    CHECK(state().ordersAccepted == 1);
    CHECK(state().ordersAccepted == 2);
}
