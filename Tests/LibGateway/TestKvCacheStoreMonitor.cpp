#include <LibCore/ManualClock.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/KvCacheStoreMonitor.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/// Stores whose first answer cannot be decoded.
class OddStores final : public Gateway::EngineControl
{
public:
    asio::awaitable<Gateway::EngineState> state(const Gateway::UpstreamReport &) override
    {
        co_return Gateway::EngineState();
    }
    asio::awaitable<std::uint64_t> storeEpoch(Http::Endpoint, std::uint64_t &) override
    {
        if (++queries == 1)
            throw std::out_of_range("an odd answer");
        co_return 1;
    }
    asio::awaitable<Gateway::OrderOutcome> order(const Gateway::UpstreamReport &,
                                                 const Gateway::WeightsOrder &,
                                                 std::function<bool()>) override
    {
        co_return Gateway::OrderOutcome::Conflict;
    }

    int queries = 0;
};

} // namespace

TEST_CASE("a KV cache store is queried again after an unexpected exception")
{
    Core::ManualClock clock;
    clock.advance(1h);
    const Gateway::FleetMembers members({Core::InstanceId("a"), "a", {}}, clock);
    Gateway::KvCacheStores stores;
    stores.configure({{Http::parseEndpoint("127.0.0.1:9").value(), 1'000, "a", 0}});
    OddStores engines;
    Gateway::KvCacheStoreMonitor monitor({stores, engines, members, clock});
    asio::io_context context;
    bool isAnswered = false;
    monitor.onAnswer = [&](std::uint64_t, std::uint64_t) {
        isAnswered = true;
        context.stop();
    };
    asio::co_spawn(context, monitor.run(), asio::detached);
    context.run_for(20s);
    CHECK(isAnswered);
}
