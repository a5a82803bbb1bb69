#include "GatewayFixture.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <regex>
#include <thread>
#include <utility>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using PlatformTests::GatewayFixture;
using StandIns::WorkerStandIn;

namespace {

constexpr auto DeadlyPart = "dead0001";
// As long as an engine takes to be back, so that its crashes are told apart.
constexpr auto RestartTime = 500ms;
constexpr int MaxDeadlyRequests = 14;

template <typename Message>
std::string header(const Message &message, std::string_view name)
{
    return std::string(message.headers.find(name).value_or(std::string_view()));
}

bool isDeadly(const Http::Request &request)
{
    return header(request, "X-Jujubesaddle-Prompt-Prefix").find(DeadlyPart) != std::string::npos;
}

/// Closes the connection whenever a prompt contains the deadly part.
asio::awaitable<bool> crashOnDeadlyPart(Http::ServerExchange &exchange)
{
    if (!isDeadly(exchange.request()))
        co_return false;
    throw boost::system::system_error(asio::error::connection_reset);
}

/// Does the same after the first event of the answer.
asio::awaitable<bool> crashAfterFirstEvent(Http::ServerExchange &exchange)
{
    if (!isDeadly(exchange.request()))
        co_return false;
    co_await exchange.startStream(200, WorkerStandIn::answerHeaders(exchange.request()));
    co_await exchange.write("id: 1\ndata: 1\n\n");
    throw boost::system::system_error(asio::error::connection_reset);
}

/// Closes the connection when events have come for longer than a prompt needs to crash an engine.
asio::awaitable<bool> crashLate(Http::ServerExchange &exchange)
{
    if (!isDeadly(exchange.request()))
        co_return false;
    co_await exchange.startStream(200, WorkerStandIn::answerHeaders(exchange.request()));
    for (int n = 1; n <= 7; ++n) {
        co_await exchange.write("id: " + std::to_string(n) + "\ndata: 1\n\n");
        asio::steady_timer timer(co_await asio::this_coro::executor, 100ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    throw boost::system::system_error(asio::error::connection_reset);
}

/// Returns the behaviour of an engine that the deadly part crashes while it works on other prompts,
/// which are lost with it.
WorkerStandIn::Behaviour crashWithOthers()
{
    return [crashes = std::make_shared<std::atomic<int>>(0)](
               Http::ServerExchange &exchange) -> asio::awaitable<bool> {
        if (isDeadly(exchange.request())) {
            ++*crashes;
            co_return co_await crashAfterFirstEvent(exchange);
        }
        const int before = *crashes;
        asio::steady_timer timer(co_await asio::this_coro::executor, 150ms);
        co_await timer.async_wait(asio::use_awaitable);
        if (*crashes != before)
            throw boost::system::system_error(asio::error::connection_reset);
        co_return false;
    };
}

/// A request that has no id, body or last part in common with another one.
Http::Request promptWith(const std::string &parts, int number, const std::string &target)
{
    const auto text = std::to_string(number);
    auto request = GatewayFixture::streamRequest(target, "id-" + parts.substr(0, 4) + text);
    request.headers.remove("X-Jujubesaddle-Prompt-Prefix");
    request.headers.add("X-Jujubesaddle-Prompt-Prefix", parts + ",e" + text + ":100");
    return request;
}

/// Two gateways, or one, and four engines that crash on one part.
struct Fleet
{
    explicit Fleet(WorkerStandIn::Behaviour behaviour, bool hasSecond = true)
    {
        for (int n = 1; n <= 4; ++n) {
            workers.push_back(&fixture.addWorker("w-" + std::to_string(n), "llm"));
            workers.back()->setBehaviour(behaviour);
        }
        fixture.configure(1);
        firstProcess = &fixture.startGateway({"edge-1", 5'000, 8, GatewayFixture::freePort()});
        first = fixture.callers();
        second = first;
        if (!hasSecond)
            return;
        secondProcess = &fixture.startGateway(secondOptions);
        second = fixture.callers();
    }

    /// Sends a prompt with the deadly part to the gateway. Returns the answer's status; 0 if the
    /// answer was interrupted.
    unsigned sendDeadly(const Http::Endpoint &gateway)
    {
        lastReason.clear();
        lastRetryAfter.clear();
        const auto target = "/streams/once/" + std::to_string(++number);
        const auto parts = "aa:300," + std::string(DeadlyPart) + ":200";
        try {
            const auto answer = fixture.send(gateway, promptWith(parts, number, target));
            lastReason = answer.body;
            lastRetryAfter = header(answer, "Retry-After");
            return answer.status;
        } catch (const Core::Error &) {
            return 0;
        }
    }

    /// Sends a prompt with the same first part as the deadly ones.
    unsigned sendSound(const Http::Endpoint &gateway)
    {
        return fixture.send(gateway, promptWith("aa:300,bb:200", ++number, "/streams/a")).status;
    }

    /// Sends a prompt that is the same each time, with the first part of the deadly ones. Returns
    /// the answer's status; 0 if the answer was interrupted.
    unsigned sendRepeated(const Http::Endpoint &gateway)
    {
        auto request = promptWith("aa:300,cc:200", 0, "/streams/repeated");
        request.body = "asked again and again";
        request.headers.remove("X-Jujubesaddle-Attempt-Id");
        request.headers.add("X-Jujubesaddle-Attempt-Id", "again-" + std::to_string(++repeats));
        try {
            return fixture.send(gateway, std::move(request)).status;
        } catch (const Core::Error &) {
            return 0;
        }
    }

    /// Returns the number of deadly prompts that engines received.
    std::size_t received() const
    {
        std::size_t count = 0;
        for (const auto *worker : workers) {
            const auto requests = worker->requests();
            count += std::count_if(requests.begin(), requests.end(), isDeadly);
        }
        return count;
    }

    /// Gives the engines that crashed since the last call a new incarnation.
    void restartCrashed()
    {
        crashed.resize(workers.size());
        for (std::size_t n = 0; n < workers.size(); ++n) {
            const auto requests = workers[n]->requests();
            const auto count = std::count_if(requests.begin(), requests.end(), isDeadly);
            if (count > std::exchange(crashed[n], count))
                fixture.restartWorker(*workers[n]);
        }
    }

    /// Sends prompts with the deadly part to both gateways in turn, and sound ones to both after
    /// each, until a deadly one is refused. Returns whether that happened, and checks that the
    /// sound ones are served.
    bool becomesRefused(int requests = MaxDeadlyRequests)
    {
        for (int n = 0; n < requests; ++n) {
            if (sendDeadly(n % 2 == 0 ? first : second) == 503 && !lastReason.empty()
                && lastReason.find("poison_request") != std::string::npos)
                return true;
            restartCrashed();
            std::this_thread::sleep_for(RestartTime);
            CHECK(sendSound(first) == 200);
            CHECK(sendSound(second) == 200);
        }
        return false;
    }

    GatewayFixture fixture;
    PlatformTests::GatewayOptions secondOptions {"edge-2", 5'000, 8, GatewayFixture::freePort()};
    std::vector<WorkerStandIn *> workers;
    std::vector<std::ptrdiff_t> crashed;
    Http::Endpoint first;
    Http::Endpoint second;
    Processes::Process *firstProcess = nullptr;
    Processes::Process *secondProcess = nullptr;
    std::string lastReason;
    std::string lastRetryAfter;
    int number = 0;
    std::atomic<int> repeats {0};
};

/// Callers that send the repeated prompt one after the other until they are destroyed.
class RepeatingCallers
{
public:
    explicit RepeatingCallers(Fleet &fleet)
    {
        for (int n = 0; n < 8; ++n)
            m_threads.emplace_back([this, &fleet, n] {
                while (!m_hasEnded)
                    fleet.sendRepeated(n % 2 == 0 ? fleet.first : fleet.second);
            });
    }
    ~RepeatingCallers()
    {
        m_hasEnded = true;
        for (auto &thread : m_threads)
            thread.join();
    }
    RepeatingCallers(const RepeatingCallers &) = delete;
    RepeatingCallers &operator=(const RepeatingCallers &) = delete;

private:
    std::atomic<bool> m_hasEnded {false};
    std::vector<std::thread> m_threads;
};

void checkRefusedEverywhere(Fleet &fleet)
{
    REQUIRE(fleet.becomesRefused());
    // Each instance decides by itself, some hundred milliseconds apart.
    std::this_thread::sleep_for(RestartTime);
    const auto before = fleet.received();
    for (int n = 0; n < 4; ++n) {
        CHECK(fleet.sendDeadly(n % 2 == 0 ? fleet.first : fleet.second) == 503);
        CHECK(fleet.lastReason.find("poison_request") != std::string::npos);
        CHECK(fleet.lastRetryAfter.empty());
        CHECK(fleet.sendSound(n % 2 == 0 ? fleet.first : fleet.second) == 200);
    }
    CHECK(fleet.received() == before);
}

} // namespace

TEST_CASE("a prompt part that crashes every engine is refused by all instances, sound ones are not")
{
    Fleet fleet(crashOnDeadlyPart);
    checkRefusedEverywhere(fleet);
    CHECK(fleet.received() <= 10);
}

// Guards against the count of all requests that were at an upstream when it crashed: a question
// that callers repeat was lost in three crashes that the part caused, and refused from then on.
TEST_CASE("a prompt that callers repeat is refused beside a part that crashes engines")
{
    Fleet fleet(nullptr);
    for (auto *worker : fleet.workers)
        worker->setBehaviour(crashWithOthers());
    const RepeatingCallers callers(fleet);
    REQUIRE(fleet.becomesRefused());
    std::this_thread::sleep_for(RestartTime);
    for (int n = 0; n < 4; ++n) {
        CHECK(fleet.sendRepeated(fleet.first) == 200);
        CHECK(fleet.sendRepeated(fleet.second) == 200);
    }
}

TEST_CASE("the log leads from a refused request to the part and to the requests that were lost")
{
    // Of two, one may learn of the part from the other, and log less.
    Fleet fleet(crashOnDeadlyPart, false);
    REQUIRE(fleet.becomesRefused());
    const std::regex named("part ([0-9a-f]{16}) of the prompt");
    std::smatch match;
    REQUIRE(std::regex_search(fleet.lastReason, match, named));
    const auto part = match[1].str();
    const auto lost = fleet.firstProcess->awaitLine("poison_suspected");
    CHECK(lost.find(part) != std::string::npos);
    CHECK(lost.find("\"part_count\":\"2\"") != std::string::npos);
    const auto found = fleet.firstProcess->awaitLine("poison_part_found");
    CHECK(found.find(part) != std::string::npos);
    CHECK(fleet.firstProcess->awaitLine("request_refused").find(part) != std::string::npos);
}

TEST_CASE("a part whose answers were under way when engines crashed is not refused")
{
    Fleet fleet(crashLate);
    CHECK_FALSE(fleet.becomesRefused(8));
    CHECK(fleet.received() == 8);
}

TEST_CASE("a part that crashes engines after the first event is refused, also after a restart")
{
    Fleet fleet(crashAfterFirstEvent);
    checkRefusedEverywhere(fleet);
    const auto before = fleet.received();
    fleet.secondProcess->kill();
    fleet.fixture.startGateway(fleet.secondOptions);
    fleet.second = fleet.fixture.callers();
    CHECK(fleet.sendDeadly(fleet.second) == 503);
    CHECK(fleet.lastReason.find("poison_request") != std::string::npos);
    CHECK(fleet.sendSound(fleet.second) == 200);
    CHECK(fleet.received() == before);
}

TEST_CASE("an instance that restarts without siblings still refuses a part that crashes engines")
{
    Fleet fleet(crashOnDeadlyPart);
    checkRefusedEverywhere(fleet);
    const auto before = fleet.received();
    fleet.secondProcess->kill();
    fleet.fixture.startGateway({"edge-3", 5'000, 8});
    CHECK(fleet.sendDeadly(fleet.fixture.callers()) == 503);
    CHECK(fleet.lastReason.find("poison_request") != std::string::npos);
    CHECK(fleet.received() == before);
}
