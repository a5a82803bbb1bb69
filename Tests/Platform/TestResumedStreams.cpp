#include "RawWorkersFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <sstream>

namespace asio = boost::asio;
using PlatformTests::GatewayFixture;
using PlatformTests::head;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;

namespace {

constexpr auto Events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
constexpr auto LastEvent = "id: 3\ndata: 3\n\n";
constexpr auto ErrorText = "text of an error\n\n";
constexpr auto LastChunk = "0\r\n\r\n";
constexpr auto StreamType = "Content-Type: text/event-stream\r\n";

enum class End {
    Close,
    Reset,
};

/// What a worker sends.
struct Sent
{
    std::string name;
    std::string status;
    std::string fields;
    std::string body;
    End end = End::Close;
    bool isSealed = true;
};

std::string chunk(std::string_view body)
{
    std::ostringstream text;
    text << std::hex << body.size() << "\r\n" << body << "\r\n";
    return text.str();
}

std::string lengthField(std::size_t size)
{
    return "Content-Length: " + std::to_string(size) + "\r\n";
}

constexpr auto Chunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Answers that begin the stream and break off after its second event.
std::vector<Sent> brokenStreams()
{
    const std::string events = Events;
    return {{"chunks, reset", "200 OK", Chunked, chunk(events), End::Reset},
            {"chunks, closed", "200 OK", Chunked, chunk(events)},
            {"no chunk size", "200 OK", Chunked, chunk(events) + "not a size\r\n"},
            {"length, closed", "200 OK", StreamType + lengthField(1'000), events},
            {"mid event, closed", "200 OK", StreamType, events + "id: 3\nda"},
            {"mid event, reset", "200 OK", StreamType, events + "id: 3\nda", End::Reset},
            {"mid event, last chunk", "200 OK", Chunked, chunk(events + "id: 3\nda") + LastChunk}};
}

/// Answers of which nothing is passed on, so that another attempt is made from the beginning.
std::vector<Sent> failuresBeforeStream()
{
    const std::string error = ErrorText;
    return {{"500", "500 Internal Server Error", lengthField(error.size()), error},
            {"first event cut", "200 OK", Chunked, chunk("id: 1\nda"), End::Reset},
            {"no body", "200 OK", Chunked, "", End::Close}};
}

/// Answers to the attempt that is to go on after the second event, but do not.
std::vector<Sent> wrongContinuations()
{
    const std::string error = ErrorText;
    const std::string last = LastEvent;
    const std::string whole = std::string(Events) + last;
    std::vector<Sent> answers;
    for (const std::string status :
         {"400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error",
          "503 Service Unavailable", "302 Found"}) {
        answers.push_back({status + " with a length", status, lengthField(error.size()), error});
        answers.push_back({status + " in chunks", status, "Transfer-Encoding: chunked\r\n",
                           chunk(error) + LastChunk});
        answers.push_back({status + " without a length", status, "", error});
        answers.push_back({status + " cut short", status, lengthField(1'000), error});
        answers.push_back({status + " as events", status, StreamType, last});
    }
    answers.push_back({"another type", "200 OK",
                       "Content-Type: text/plain\r\n" + lengthField(error.size()), error});
    answers.push_back({"no type", "200 OK", lengthField(error.size()), error});
    answers.push_back(
        {"another type, cut", "200 OK", "Content-Type: text/plain\r\n", error + "and", End::Reset});
    answers.push_back({"206", "206 Partial Content", StreamType + lengthField(last.size()), last});
    answers.push_back({"204", "204 No Content", "", ""});
    answers.push_back({"an encoding", "200 OK",
                       StreamType + lengthField(error.size()) + "Content-Encoding: gzip\r\n",
                       error});
    answers.push_back({"from the first event", "200 OK", StreamType, whole});
    answers.push_back({"from the second event", "200 OK", Chunked,
                       chunk("id: 2\ndata: 2\n\n" + last) + LastChunk});
    answers.push_back({"no seal", "200 OK", StreamType, last, End::Close, false});
    answers.push_back({"error without a seal", "500 Internal Server Error",
                       lengthField(error.size()), error, End::Close, false});
    answers.push_back({"malformed head", "2x0 OK", StreamType, last});
    answers.push_back({"mid event", "200 OK", StreamType, last + "id: 4\nda"});
    answers.push_back({"reset", "200 OK", Chunked, chunk(last), End::Reset});
    return answers;
}

void send(RawConnection &connection, const Http::Request &request, const Sent &sent)
{
    auto bytes = head(request, sent.status, sent.fields);
    const std::string seal = "X-Jujubesaddle-Server-Seal: seal\r\n";
    if (!sent.isSealed)
        bytes.erase(bytes.find(seal), seal.size());
    connection.send(bytes + sent.body);
    if (sent.end == End::Reset)
        connection.reset();
}

/// Lets the first attempt get one answer, and all further ones another.
StandIns::RawServer::Script inTurn(Sent first, Sent second)
{
    auto attempts = std::make_shared<std::atomic<int>>(0);
    return [=](RawConnection &connection, const Http::Request &request) {
        send(connection, request, (*attempts)++ == 0 ? first : second);
    };
}

/// Returns one of the answers, each once in an order that depends on the seed.
std::vector<Sent> shuffled(std::vector<Sent> answers, unsigned seed)
{
    std::shuffle(answers.begin(), answers.end(), std::mt19937(seed));
    return answers;
}

} // namespace

TEST_CASE("a stream that broke off is never completed, or joined with another answer than its rest")
{
    const auto seed = GENERATE(1U, 2U);
    const auto firsts = shuffled(brokenStreams(), seed);
    const auto seconds = shuffled(wrongContinuations(), seed);
    const std::string all = std::string(Events) + LastEvent;
    // Each answer to the second attempt meets one way of breaking off a seed.
    for (std::size_t n = 0; n < seconds.size(); ++n) {
        const auto &first = firsts[n % firsts.size()];
        RawWorkersFixture fixture("llm", inTurn(first, seconds[n]));
        const auto answer = fixture.receive(GatewayFixture::streamRequest("/streams/a", "id-1"));
        INFO("seed " << seed << ": " << first.name << ", then " << seconds[n].name);
        CHECK(answer.failure);
        CHECK(answer.response.status == 200);
        CHECK(all.starts_with(answer.response.body));
        CHECK(answer.response.body.starts_with(Events));
        CHECK(fixture.received() == 2);
    }
}

TEST_CASE("a stream that broke off goes on at its next event, however it broke off")
{
    for (const auto &first : brokenStreams()) {
        const std::string last = LastEvent;
        RawWorkersFixture fixture(
            "llm", inTurn(first, {"rest", "200 OK", Chunked, chunk(last) + LastChunk}));
        const auto answer = fixture.receive(GatewayFixture::streamRequest("/streams/a", "id-1"));
        INFO(first.name);
        CHECK(!answer.failure);
        CHECK(answer.response.body == Events + last);
        CHECK(fixture.received() == 2);
    }
}

TEST_CASE("a stream that breaks off after a failed attempt is cut, without the error of the first")
{
    for (const auto &first : failuresBeforeStream()) {
        for (const auto &second : brokenStreams()) {
            RawWorkersFixture fixture("llm", inTurn(first, second));
            const auto answer =
                fixture.receive(GatewayFixture::streamRequest("/streams/a", "id-1"));
            INFO(first.name << ", then " << second.name);
            CHECK(answer.failure);
            CHECK(answer.response.status == 200);
            CHECK(answer.response.body == Events);
        }
    }
}

TEST_CASE("a stream that ends early does not look complete to a caller of HTTP/1.0")
{
    const std::string last = LastEvent;
    const bool isWhole = GENERATE(false, true);
    RawWorkersFixture fixture("llm", inTurn(isWhole ? Sent {"whole", "200 OK", StreamType, last}
                                                    : brokenStreams().front(),
                                            {"nothing", "404 Not Found", "", ""}));
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(fixture.callers());
    asio::write(socket, asio::buffer(std::string(
                            "GET /streams/once/a HTTP/1.0\r\nHost: a.example\r\n"
                            "Authorization: Bearer key-1\r\nX-Jujubesaddle-Attempt-Id: id-1\r\n"
                            "X-Jujubesaddle-Model: model\r\n"
                            "X-Jujubesaddle-Token-Usage: 1000,50\r\n"
                            "X-Jujubesaddle-Prompt-Prefix: aa:600,bb:400\r\n\r\n")));
    std::string received;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(received), ec);
    CHECK(ec
          == (isWhole ? boost::system::error_code(asio::error::eof)
                      : boost::system::error_code(asio::error::connection_reset)));
}
