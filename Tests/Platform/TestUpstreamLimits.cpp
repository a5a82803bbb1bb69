#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using PlatformTests::GatewayOptions;
using StandIns::WorkerStandIn;

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr std::size_t Instances = 3;
// The limit holds from this time after it was first named, over any window.
constexpr auto StableTime = 3s;
constexpr auto Window = 4s;
constexpr double Tolerance = 1.5;
constexpr double Slack = 5;

/// The answers of a worker that names a limit, and the arrivals of requests at it.
class LimitedWorker
{
public:
    explicit LimitedWorker(WorkerStandIn &worker)
        : m_worker(worker)
    {
        worker.setBehaviour([this](auto &exchange) { return answer(exchange); });
    }
    ~LimitedWorker() { m_worker.setBehaviour({}); }
    LimitedWorker(const LimitedWorker &) = delete;
    LimitedWorker &operator=(const LimitedWorker &) = delete;

    /// Empty when the worker names none.
    void setLimit(const std::string &limit)
    {
        const std::scoped_lock lock(m_mutex);
        m_limit = limit;
    }
    std::size_t arrivalsBetween(Time from, Time to) const
    {
        const std::scoped_lock lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(
            m_arrivals.begin(), m_arrivals.end(), [=](auto it) { return it >= from && it < to; }));
    }

private:
    asio::awaitable<bool> answer(Http::ServerExchange &exchange)
    {
        auto headers = WorkerStandIn::answerHeaders(exchange.request());
        {
            const std::scoped_lock lock(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            if (!m_limit.empty())
                headers.add("Server-Limit", m_limit);
        }
        Http::Response response(200, std::move(headers), "limited");
        co_await exchange.respond(std::move(response));
        co_return true;
    }

    WorkerStandIn &m_worker;
    mutable std::mutex m_mutex;
    std::string m_limit;
    std::vector<Time> m_arrivals;
};

/// Instances that hear of each other, and callers that send to each of them.
class Fleet
{
public:
    explicit Fleet(GatewayFixture &fixture)
        : m_fixture(fixture)
    {
        for (std::size_t n = 0; n < Instances; ++n) {
            GatewayOptions options;
            options.name = "edge-" + std::to_string(n);
            options.siblingsPort = GatewayFixture::freePort();
            fixture.startGateway(options);
            m_callers.push_back(fixture.callers());
        }
    }
    ~Fleet()
    {
        m_isEnded = true;
        for (auto &it : m_threads)
            it.join();
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Sends requests to each instance, with this pause after each answer, until the end.
    void send(std::chrono::milliseconds pause)
    {
        for (std::size_t n = 0; n < m_callers.size(); ++n)
            m_threads.emplace_back([this, n, pause] {
                for (int count = 0; !m_isEnded; ++count) {
                    const auto id = "id-" + std::to_string(n) + "-" + std::to_string(count);
                    const auto answer =
                        m_fixture.send(m_callers[n], GatewayFixture::request("/calls/a", id));
                    note(answer);
                    std::this_thread::sleep_for(pause);
                }
            });
    }

    std::atomic<int> served {0};
    std::atomic<int> refused {0};
    std::atomic<int> others {0};

private:
    void note(const Http::Response &answer)
    {
        const bool isRefusal = answer.status == 503 && answer.headers.find("Retry-After");
        ++(answer.status == 200 ? served : isRefusal ? refused : others);
    }

    GatewayFixture &m_fixture;
    std::vector<Http::Endpoint> m_callers;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isEnded {false};
};

double allowed(double limit)
{
    return Tolerance * limit * std::chrono::duration<double>(Window).count() + Slack;
}

} // namespace

TEST_CASE("instances together send an upstream no more requests than the limit that it names")
{
    GatewayFixture fixture;
    LimitedWorker limited(fixture.addWorker("w-1", "app"));
    fixture.addWorker("w-2", "app");
    fixture.configure(1);
    Fleet fleet(fixture);
    limited.setLimit("3.6");
    fleet.send(20ms);
    std::this_thread::sleep_for(StableTime);
    const auto from = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(Window);
    CHECK(static_cast<double>(limited.arrivalsBetween(from, from + Window)) <= allowed(3.6));
    CHECK(limited.arrivalsBetween(from, from + Window) >= 1);
    // The other upstream takes the rest.
    CHECK(fleet.served > 0);
    CHECK(fleet.refused + fleet.others == 0);
    limited.setLimit("");
    std::this_thread::sleep_for(1s);
    const auto end = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(1s);
    CHECK(static_cast<double>(limited.arrivalsBetween(end, end + 1s)) > allowed(3.6));
}

TEST_CASE("callers of a service whose only upstream names a limit are served at that limit")
{
    GatewayFixture fixture;
    LimitedWorker limited(fixture.addWorker("w-1", "app"));
    fixture.configure(1);
    Fleet fleet(fixture);
    constexpr double Limit = 10;
    limited.setLimit(std::to_string(Limit));
    fleet.send(20ms);
    std::this_thread::sleep_for(StableTime);
    const auto from = std::chrono::steady_clock::now();
    const auto servedBefore = fleet.served.load();
    std::this_thread::sleep_for(Window);
    const auto served = fleet.served - servedBefore;
    CHECK(static_cast<double>(limited.arrivalsBetween(from, from + Window)) <= allowed(Limit));
    CHECK(served >= 0.75 * Limit * std::chrono::duration<double>(Window).count());
    CHECK(fleet.refused > 0);
    CHECK(fleet.others == 0);
}
