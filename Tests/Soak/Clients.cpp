#include "Clients.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <limits>

namespace Soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto ConnectTimeout = 1'000ms;
// Beyond the deadline, so that an answer at the deadline still arrives.
constexpr auto Patience = 700ms;
constexpr auto ReconnectPause = 200ms;
// The longest answer that a gateway passes on.
constexpr std::uint64_t AnswerLimitBytes = 16 * 1024 * 1024;

http::request<http::string_body> encode(const Request &request, Time deadline)
{
    http::request<http::string_body> message(http::verb::post, request.target, 11);
    message.set(http::field::host, "a.example");
    message.set(http::field::authorization,
                "Bearer " + (request.key.empty() ? std::string("key-1") : request.key));
    message.set("X-Jujubesaddle-Attempt-Id", request.id);
    message.set("X-Jujubesaddle-Deadline-Ms", std::to_string(deadline.count()));
    if (request.isStream()) {
        message.set("X-Jujubesaddle-Model", "model");
        message.set("X-Jujubesaddle-Token-Usage", "1000," + std::to_string(request.events));
        message.set("X-Jujubesaddle-Prompt-Prefix", "aa:600,bb" + request.id + ":400");
    }
    message.body() = "body of " + request.id;
    message.prepare_payload();
    return message;
}

/// Whether the error says that the bytes are no answer, and not that they end early.
bool isMalformed(const boost::system::error_code &ec)
{
    return ec.category() == make_error_code(http::error::end_of_stream).category()
           && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

} // namespace

void Clients::add()
{
    ++m_active;
    asio::co_spawn(m_world.context, run(), asio::detached);
}

void Clients::addIdle()
{
    asio::co_spawn(m_world.context, holdConnections(), asio::detached);
}

asio::awaitable<void> Clients::holdConnections()
{
    while (!m_world.isStopping) {
        tcp::socket socket(m_world.context);
        const auto n = static_cast<std::size_t>(
            m_world.dice.between(0, static_cast<std::int64_t>(m_gateways.count()) - 1));
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), m_gateways.port(n));
        boost::system::error_code ec;
        co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
        std::array<char, 1> byte {};
        if (!ec)
            co_await socket.async_read_some(asio::buffer(byte),
                                            asio::redirect_error(asio::use_awaitable, ec));
        co_await pause(ReconnectPause);
    }
}

std::size_t Clients::pickInstance()
{
    const auto count = static_cast<std::int64_t>(m_gateways.count());
    const auto first = static_cast<std::size_t>(m_world.dice.between(0, count - 1));
    // Some clients don't come through the balancer.
    if (m_world.dice.chance(0.05))
        return first;
    for (std::size_t n = 0; n < m_gateways.count(); ++n) {
        const auto candidate = (first + n) % m_gateways.count();
        if (m_gateways.isInRotation(candidate))
            return candidate;
    }
    return first;
}

Request &Clients::newRequest(const std::string &instance)
{
    auto &dice = m_world.dice;
    Request request;
    request.id = std::to_string(++m_count);
    request.id.insert(0, 6 - std::min<std::size_t>(6, request.id.size()), '0');
    request.instance = instance;
    request.kind = static_cast<Kind>(dice.between(0, 3));
    request.hasPassingRoute = request.kind == Kind::Once && dice.chance(0.15);
    static constexpr const char *Paths[] = {"/calls/", "/views/", "/streams/once/", "/streams/"};
    request.target =
        (request.hasPassingRoute ? "/passing/" : Paths[static_cast<std::size_t>(request.kind)])
        + request.id;
    const auto &configurations = m_world.history.configurations;
    // Some callers still use the key before the newest one.
    if (dice.chance(0.15) && !configurations.empty()) {
        const auto last = configurations.size() - 1;
        request.key = configurations[last > 0 && dice.chance(0.5) ? last - 1 : last].passingKey;
    }
    request.events = request.isStream() ? static_cast<unsigned>(dice.between(3, 40)) : 0;
    request.sentAt = m_world.now();
    return m_world.history.requests[request.id] = request;
}

asio::awaitable<void> Clients::run()
{
    while (!m_world.isStopping) {
        co_await useConnection();
        co_await pause(m_world.dice.time(10, 200));
    }
    --m_active;
}

asio::awaitable<void> Clients::useConnection()
{
    const auto instance = pickInstance();
    Stream stream(m_world.context);
    stream.expires_after(ConnectTimeout);
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), m_gateways.port(instance));
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return;
    beast::flat_buffer buf;
    // Some connections are kept as long as the process lives.
    const auto count = m_world.dice.chance(0.3)   ? 1
                       : m_world.dice.chance(0.5) ? m_world.dice.between(2, 200)
                                                  : std::numeric_limits<int>::max();
    bool goesOn = true;
    for (int n = 0; n < count && goesOn && !m_world.isStopping; ++n) {
        auto &request = newRequest(m_gateways.name(instance));
        request.isOnKeptConnection = n > 0;
        goesOn = co_await exchange(stream, buf, request);
        request.endedAt = m_world.now();
        if (goesOn)
            co_await pause(m_world.dice.time(10, 300));
    }
}

asio::awaitable<bool> Clients::exchange(Stream &stream, beast::flat_buffer &buf, Request &request)
{
    auto &dice = m_world.dice;
    const auto deadline = request.isStream() ? dice.time(2'500, 12'000) : 4'000ms;
    request.deadline = deadline;
    const bool leavesEarly = dice.chance(0.04);
    const auto message = encode(request, deadline);
    boost::system::error_code ec;
    stream.expires_after(leavesEarly ? dice.time(5, 400) : deadline + Patience);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    http::response_parser<http::string_body> parser;
    parser.body_limit(AnswerLimitBytes);
    if (!ec)
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    request.hasLeft = ec == beast::error::timeout || m_world.isStopping;
    if (isMalformed(ec))
        request.malformation = "bytes that are no answer: " + ec.message();
    if (!parser.is_header_done())
        co_return false;
    const auto &answer = parser.get();
    request.status = answer.result_int();
    request.seal = std::string(answer["X-Jujubesaddle-Server-Seal"]);
    request.body = answer.body();
    request.isComplete = !ec;
    const auto id = answer["X-Jujubesaddle-Attempt-Id"];
    if (!id.empty() && id != request.id)
        request.malformation = "the answer belongs to request " + std::string(id);
    if (!ec && buf.size() > 0)
        request.malformation = std::to_string(buf.size()) + " bytes follow the answer";
    co_return !ec && answer.keep_alive();
}

} // namespace Soak
