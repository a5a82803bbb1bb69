#include "../StandIns/SilentServer.h"

#include <LibCore/Error.h>
#include <LibCore/IoThreads.h>
#include <LibPlatform/PlatformClient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <vector>

using namespace std::chrono_literals;

TEST_CASE("platform connections that went silent delay one call only")
{
    StandIns::SilentServer platform("{}");
    Core::IoThreads threads {1};
    Platform::PlatformClient client(platform.server.endpoint(), 300ms);
    const auto call = [&] {
        return boost::asio::co_spawn(threads.at(0), client.call(Http::Request("GET", "/"), 0ms),
                                     boost::asio::use_future);
    };
    std::vector<std::future<boost::json::value>> calls(3);
    for (auto &it : calls)
        it = call();
    for (auto &it : calls)
        it.get();
    REQUIRE(platform.server.openConnections() == 3);
    platform.isSilent = true;
    CHECK_THROWS_AS(call().get(), Core::Error);
    CHECK_NOTHROW(call().get());
    threads.stop();
}
