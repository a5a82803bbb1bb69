#include "HangingLog.h"

#include <LibGateway/GatewayDaemon.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <new>
#include <stdexcept>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Gateway::FleetTopic;

namespace {

constexpr auto WaitTimeout = 30s;
constexpr int FailedCalls = 2;

/// A log whose first calls on each topic throw exceptions that no caller expects.
class ThrowingLog final : public Gateway::FleetLog
{
public:
    asio::awaitable<Gateway::FleetPage> newest(FleetTopic topic) override
    {
        note(topic);
        co_return Gateway::FleetPage();
    }
    asio::awaitable<Gateway::FleetPage> read(FleetTopic topic, Gateway::LogPosition from,
                                             std::chrono::milliseconds wait) override
    {
        note(topic);
        asio::steady_timer timer(co_await asio::this_coro::executor, std::min(wait, 50ms));
        co_await timer.async_wait(asio::use_awaitable);
        Gateway::FleetPage page;
        page.next = from;
        co_return page;
    }
    asio::awaitable<Gateway::AppendOutcome> append(FleetTopic topic, std::string,
                                                   std::optional<Gateway::LogPosition>) override
    {
        note(topic);
        co_return Gateway::AppendOutcome {true, 0};
    }

    int calls(FleetTopic topic)
    {
        const std::scoped_lock lock(m_mutex);
        return m_calls[topic];
    }

private:
    void note(FleetTopic topic)
    {
        const std::scoped_lock lock(m_mutex);
        const int number = ++m_calls[topic];
        if (number == 1)
            throw std::length_error("a length that nobody expects");
        if (number <= FailedCalls)
            throw std::bad_alloc();
    }

    std::mutex m_mutex;
    std::map<FleetTopic, int> m_calls;
};

class NoRecords final : public Gateway::RecordDecoder
{
public:
    Core::Result<Gateway::OperatorRecord>
    decodeOperator(const Gateway::FleetRecord &) const override
    {
        return Gateway::OperatorRecord(Gateway::UnknownRecord());
    }
    Core::Result<Gateway::UpstreamReport>
    decodeUpstream(const Gateway::FleetRecord &) const override
    {
        return Gateway::UpstreamReport();
    }
};

class NoRequests final : public Gateway::RequestDialect
{
public:
    Core::Result<Gateway::CallerRequest> decode(const Http::Request &) const override
    {
        return Core::Error(Core::ErrorKind::MalformedRequest);
    }
    Http::Headers upstreamHeaders(const Http::Request &, const Gateway::Dispatch &) const override
    {
        return {};
    }
    Gateway::AnswerHead readHead(unsigned, const Http::Headers &) const override { return {}; }
};

class NoEngines final : public Gateway::EngineControl
{
public:
    asio::awaitable<Gateway::EngineState> state(const Gateway::UpstreamReport &) override
    {
        co_return Gateway::EngineState();
    }
    asio::awaitable<std::uint64_t> storeEpoch(Http::Endpoint, std::uint64_t &) override
    {
        co_return 0;
    }
    asio::awaitable<Gateway::OrderOutcome> order(const Gateway::UpstreamReport &,
                                                 const Gateway::WeightsOrder &,
                                                 std::function<bool()>) override
    {
        co_return Gateway::OrderOutcome::Conflict;
    }
};

/// A daemon on free ports. Its suspended loops refer to it, so it is never destroyed.
struct RunningDaemon
{
    Core::SystemClock clock;
    ThrowingLog log;
    NoRecords records;
    NoRequests dialect;
    NoEngines engines;
    Gateway::GatewayDaemon daemon {settings(), {log, records, dialect, engines, clock}};

    static Gateway::GatewaySettings settings()
    {
        Gateway::GatewaySettings settings;
        settings.instance = Core::InstanceId("edge-1");
        settings.dataCentre = "a";
        settings.callers = Http::parseEndpoint("127.0.0.1:0").value();
        settings.readiness = settings.callers;
        settings.siblings = settings.callers;
        return settings;
    }
};

} // namespace

TEST_CASE("loops of the gateway go on after exceptions that are not errors of this program")
{
    static auto &running = *new RunningDaemon;
    running.daemon.start();
    const auto end = std::chrono::steady_clock::now() + WaitTimeout;
    for (const auto topic : {FleetTopic::Operator, FleetTopic::Upstreams, FleetTopic::Journal}) {
        while (running.log.calls(topic) <= FailedCalls && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        CHECK(running.log.calls(topic) > FailedCalls);
    }
    running.daemon.stop();
}
