#include <LibCore/ManualClock.h>
#include <LibHttp/AnswerBuffer.h>
#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <list>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Http::BodyBudget;
using Http::UnreadAnswers;

namespace {

/// A caller that reads only while the test lets it.
class Caller final : public Http::ServerExchange
{
public:
    explicit Caller(std::shared_ptr<BodyBudget> budget)
    {
        m_bodyShare = BodyBudget::Share(std::move(budget));
    }

    asio::awaitable<void> respond(Http::Response) override { co_return; }
    asio::awaitable<void> startStream(unsigned, Http::Headers) override { co_return; }
    asio::awaitable<void> write(std::string chunk) override
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (!isReading) {
            timer.expires_after(1ms);
            co_await timer.async_wait(asio::use_awaitable);
            if (isLost)
                throw boost::system::system_error(asio::error::connection_reset);
        }
        received += chunk;
    }
    asio::awaitable<void> finishStream() override { co_return; }
    void drop() override { isLost = true; }

    bool isReading = false;
    bool isLost = false;
    std::string received;
};

struct Fixture
{
    std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>(1'000'000);
    Core::ManualClock clock;
    std::shared_ptr<UnreadAnswers> unread = std::make_shared<UnreadAnswers>();
    asio::io_context context;
    Caller caller {budget};
    unsigned failures = 0;
    Http::AnswerBuffer buffer {
        context.get_executor(), caller, {clock, unread}, true, [this] { ++failures; }};

    /// Runs a step of the exchange, and whatever else is ready for some time.
    void run(asio::awaitable<void> step)
    {
        isDone = false;
        error = {};
        asio::co_spawn(context, std::move(step), [this](const std::exception_ptr &failure) {
            isDone = true;
            error = failure;
        });
        wait();
    }
    void wait()
    {
        context.restart();
        context.run_for(20ms);
    }
    bool isDone = false;
    std::exception_ptr error;
};

std::string bytes(std::size_t count, char first = 'a')
{
    std::string text(count, first);
    for (std::size_t n = 0; n < count; ++n)
        text[n] = static_cast<char>(first + n % 23);
    return text;
}

} // namespace

TEST_CASE("chunks are taken while the caller reads nothing, and arrive complete and in order")
{
    Fixture fixture;
    std::string all;
    for (int n = 0; n < 40; ++n) {
        const auto chunk = bytes(16'000, static_cast<char>('A' + n % 7));
        all += chunk;
        fixture.run(fixture.buffer.write(chunk));
        REQUIRE(fixture.isDone);
    }
    CHECK(fixture.budget->heldBytes(Http::BodyPurpose::Streams) == all.size());
    CHECK(fixture.caller.received.empty());
    fixture.caller.isReading = true;
    fixture.run(fixture.buffer.drain());
    REQUIRE(fixture.isDone);
    CHECK(fixture.caller.received == all);
    CHECK(fixture.budget->heldBytes() == 0);
}

TEST_CASE("without room, a chunk waits for the caller instead of exceeding the budget")
{
    Fixture fixture;
    fixture.run(fixture.buffer.write(bytes(700'000)));
    REQUIRE(fixture.isDone);
    fixture.run(fixture.buffer.write(bytes(100'000)));
    CHECK_FALSE(fixture.isDone);
    CHECK(fixture.budget->heldBytes() == 700'000);
    fixture.caller.isReading = true;
    fixture.wait();
    CHECK(fixture.isDone);
    fixture.run(fixture.buffer.drain());
    CHECK(fixture.caller.received == bytes(700'000) + bytes(100'000));

    // A chunk that never finds room is sent at the caller's pace.
    fixture.budget->setLimit(10);
    fixture.run(fixture.buffer.write(bytes(50'000)));
    CHECK(fixture.isDone);
    fixture.run(fixture.buffer.drain());
    CHECK(fixture.caller.received.size() == 850'000);
}

TEST_CASE("the failure of the caller's connection ends the answer, once")
{
    Fixture fixture;
    fixture.run(fixture.buffer.write(bytes(1'000)));
    fixture.run(fixture.buffer.write(bytes(1'000)));
    fixture.caller.isLost = true;
    fixture.run(fixture.buffer.drain());
    CHECK(fixture.error);
    CHECK(fixture.failures == 1);
    fixture.run(fixture.buffer.write(bytes(1'000)));
    CHECK(fixture.error);
    CHECK(fixture.budget->heldBytes() == 0);
    fixture.run(fixture.buffer.stop());
    CHECK(fixture.isDone);
}

TEST_CASE("a buffer that is stopped or out of time sends no more than it has begun to")
{
    Fixture fixture;
    BodyBudget::Share share(fixture.budget);
    REQUIRE(share.growTo(200'000));
    fixture.buffer.adopt(bytes(200'000), std::move(share));
    fixture.run(fixture.buffer.write(bytes(1'000)));
    fixture.buffer.limitTime(1s);
    fixture.run(fixture.buffer.drain());
    CHECK_FALSE(fixture.isDone);
    fixture.clock.advance(2s);
    fixture.context.restart();
    fixture.context.run_for(200ms);
    CHECK(fixture.isDone);
    CHECK(fixture.error);
    fixture.run(fixture.buffer.stop());
    CHECK_FALSE(fixture.isDone);
    fixture.caller.isReading = true;
    fixture.context.restart();
    fixture.context.run_for(200ms);
    CHECK(fixture.isDone);
    CHECK(fixture.caller.received.size() < 100'000);
    CHECK(fixture.budget->heldBytes() == 0);
}

TEST_CASE("above nine tenths, what was unread for the longest gives way, repeatable answers first")
{
    Core::ManualClock clock;
    clock.advance(1h);
    const auto unread = std::make_shared<UnreadAnswers>();
    std::string dropped;
    const auto add = [&](char name, bool isRepeatable) {
        return std::make_unique<UnreadAnswers::Entry>(unread, isRepeatable,
                                                      [&dropped, name] { dropped += name; });
    };
    auto once = add('o', false);
    auto late = add('l', true);
    auto early = add('e', true);
    const auto reading = add('r', true);
    once->noteUnread(clock.now());
    early->noteUnread(clock.now() + 1ms);
    late->noteUnread(clock.now() + 2ms);
    reading->noteUnread(clock.now());
    reading->noteRead();
    // Callers that read now and then are not dropped.
    CHECK_FALSE(unread->dropLongestUnread(clock.now() + 900ms));
    clock.advance(2s);
    CHECK(unread->dropLongestUnread(clock.now()));
    // Its memory is not returned yet.
    CHECK_FALSE(unread->dropLongestUnread(clock.now()));
    early.reset();
    CHECK(unread->dropLongestUnread(clock.now()));
    late.reset();
    CHECK(unread->dropLongestUnread(clock.now()));
    once.reset();
    CHECK_FALSE(unread->dropLongestUnread(clock.now()));
    CHECK(dropped == "elo");
}

TEST_CASE("a stream that needs room above nine tenths takes that of an unread one")
{
    Fixture fixture;
    BodyBudget::Share others(fixture.budget);
    REQUIRE(others.growTo(700'000));
    fixture.run(fixture.buffer.write(bytes(60'000)));
    Caller reading(fixture.budget);
    Http::AnswerBuffer second(fixture.context.get_executor(), reading,
                              {fixture.clock, fixture.unread}, false, [] {});
    std::list<BodyBudget::Share> small;
    for (int n = 0; n < 4; ++n) {
        small.emplace_back(fixture.budget);
        REQUIRE(small.back().growTo(60'000));
    }
    fixture.clock.advance(2s);
    reading.isReading = true;
    fixture.run(second.write(bytes(30'000)));
    CHECK(fixture.caller.isLost);
    CHECK(fixture.failures == 1);
    fixture.run(second.drain());
    CHECK(reading.received.size() == 30'000);
    fixture.run(fixture.buffer.stop());
}

namespace {

// The kernel holds several megabytes for each connection.
constexpr std::size_t AnswerBytes = 12 * 1024 * 1024;
constexpr std::size_t Callers = 6;

/// An upstream, and a server that relays its answers through buffers.
struct Relay
{
    Relay(std::size_t budgetBytes, std::size_t answerBytes, bool isCut = false)
        : answerBytes(answerBytes)
        , budget(std::make_shared<BodyBudget>(budgetBytes))
    {
        const auto any = Http::parseEndpoint("127.0.0.1:0").value();
        upstream = Http::Server::create(threads, any, {}, [this, isCut](auto &exchange) {
                       return answer(exchange, isCut);
                   }).value();
        Http::ServerLimits limits;
        limits.bodyBudget = budget;
        server = Http::Server::create(threads, any, limits, [this](auto &exchange) {
                     return relay(exchange);
                 }).value();
    }
    ~Relay() { threads.stop(); }

    asio::awaitable<void> answer(Http::ServerExchange &exchange, bool isCut)
    {
        co_await exchange.startStream(200, {});
        constexpr std::size_t Piece = 64 * 1024;
        for (std::size_t at = 0; at < answerBytes; at += Piece) {
            auto piece = bytes(Piece, static_cast<char>('a' + at / Piece % 5));
            co_await exchange.write(std::move(piece));
        }
        ++sent;
        if (isCut)
            throw boost::system::system_error(asio::error::connection_aborted);
        co_await exchange.finishStream();
    }

    asio::awaitable<void> relay(Http::ServerExchange &exchange)
    {
        Http::Request request("GET", "/");
        auto answer = co_await client.open(upstream->localEndpoint(), std::move(request), {});
        co_await exchange.startStream(200, {});
        const auto executor = co_await asio::this_coro::executor;
        Http::AnswerBuffer::Dependencies dependencies {clock, unread};
        Http::AnswerBuffer buffer(executor, exchange, std::move(dependencies), true, [] {});
        std::exception_ptr failure;
        try {
            while (auto chunk = co_await answer->readSome())
                co_await buffer.write(std::move(*chunk));
        } catch (...) {
            failure = std::current_exception();
        }
        co_await buffer.drain();
        if (failure)
            std::rethrow_exception(failure);
        co_await exchange.finishStream();
    }

    std::size_t answerBytes;
    Core::IoThreads threads {1};
    Core::SystemClock clock;
    std::shared_ptr<BodyBudget> budget;
    std::shared_ptr<UnreadAnswers> unread = std::make_shared<UnreadAnswers>();
    Http::Client client;
    std::atomic<std::size_t> sent {0};
    std::unique_ptr<Http::Server> upstream;
    std::unique_ptr<Http::Server> server;
};

/// A caller that sends a request at once, and reads the answer when it is told to.
class SlowReader
{
public:
    explicit SlowReader(const Http::Server &server)
    {
        m_socket.open(asio::ip::tcp::v4());
        m_socket.connect(server.localEndpoint());
        asio::write(m_socket, asio::buffer(std::string(
                                  "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
    }
    std::string readAll()
    {
        std::string answer;
        boost::system::error_code ec;
        asio::read(m_socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket {m_context};
};

bool isComplete(const std::string &answer)
{
    return answer.ends_with("\r\n0\r\n\r\n");
}

} // namespace

TEST_CASE("an upstream sends its answers while no caller reads, and all callers get them whole")
{
    Relay relay(2 * Callers * AnswerBytes, AnswerBytes);
    std::list<SlowReader> callers;
    for (std::size_t n = 0; n < Callers; ++n)
        callers.emplace_back(*relay.server);
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (relay.sent < Callers && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(1ms);
    CHECK(relay.sent == Callers);
    CHECK(relay.budget->heldBytes() > Callers * AnswerBytes / 4);
    for (auto &caller : callers) {
        const auto answer = caller.readAll();
        CHECK(isComplete(answer));
        CHECK(answer.size() > AnswerBytes);
    }
}

TEST_CASE("without room for the answers, the upstream waits for the callers")
{
    constexpr std::size_t BudgetBytes = 4 * 1024 * 1024;
    Relay relay(BudgetBytes, 3 * AnswerBytes);
    std::list<SlowReader> callers;
    for (std::size_t n = 0; n < Callers; ++n)
        callers.emplace_back(*relay.server);
    std::this_thread::sleep_for(900ms);
    CHECK(relay.sent < Callers);
    CHECK(relay.budget->heldBytes() <= BudgetBytes);
    for (auto &caller : callers)
        CHECK(isComplete(caller.readAll()));
    CHECK(relay.budget->heldBytes() <= BudgetBytes);
}

TEST_CASE("an answer that its upstream has cut does not look complete after a slow caller read it")
{
    Relay relay(2 * AnswerBytes, AnswerBytes, true);
    SlowReader caller(*relay.server);
    while (relay.sent == 0)
        std::this_thread::sleep_for(1ms);
    const auto answer = caller.readAll();
    CHECK(answer.size() > AnswerBytes);
    CHECK_FALSE(isComplete(answer));
}
