#include "Upstream.h"

#include <LibHttp/Endpoint.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

#include <array>

namespace Soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto ReportInterval = 1'200ms;
constexpr auto Model = "model";
// 16 MB a second on each connection.
constexpr std::size_t EndlessPiece = 65'536;
constexpr auto EndlessPause = 4ms;

std::string field(const auto &message, std::string_view name)
{
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string() : std::string(it->value());
}

std::string head(unsigned status, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "\r\n";
}

std::string wholeAnswer(unsigned status, const std::string &fields, const std::string &body)
{
    return head(status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string answerFields(const std::string &id, const std::string &seal)
{
    return "X-Jujubesaddle-Attempt-Id: " + id + "\r\nX-Jujubesaddle-Server-Seal: " + seal + "\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string newSeal()
{
    static unsigned count = 0;
    return "seal-" + std::to_string(++count);
}

} // namespace

asio::awaitable<void> pause(Time time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

Upstream::Upstream(World &world, std::string id, std::string service, std::string zone)
    : m_world(world)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
{ }

void Upstream::open(Time clockError)
{
    m_acceptor = std::make_unique<tcp::acceptor>(
        m_world.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_address = Http::formatEndpoint(m_acceptor->local_endpoint());
    m_startTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()
                  + clockError.count();
    m_saysLeaving = false;
    nameLimit(std::nullopt);
    faults = {};
    m_state = "ready";
    m_sequence = 0;
    ++m_incarnation;
    announce();
    for (auto &departure : m_world.history.departures) {
        if (departure.upstream == m_id && departure.to == Time::max())
            departure.to = m_world.now();
    }
    asio::co_spawn(m_world.context, accept(m_incarnation), asio::detached);
    asio::co_spawn(m_world.context, beat(m_incarnation), asio::detached);
}

std::string Upstream::entry(const std::string &state, unsigned sequence) const
{
    const boost::json::array models {boost::json::object {{"Name", Model}, {"Version", 1}}};
    return boost::json::serialize(boost::json::object {{"Service", m_service},
                                                       {"Address", m_address},
                                                       {"Zone", m_zone},
                                                       {"Version", "v1"},
                                                       {"Slots", 32},
                                                       {"State", state},
                                                       {"ColdLeftMs", 0},
                                                       {"Models", models},
                                                       {"born", m_startTime},
                                                       {"Seq", sequence}});
}

void Upstream::announce()
{
    m_world.store.put("keyed.servers", m_id, entry(m_state, ++m_sequence));
}

void Upstream::writeStaleEntry()
{
    // One that still reports corrects it with its next report.
    for (auto &departure : m_world.history.departures) {
        if (m_state == "gone" && departure.upstream == m_id && departure.to == Time::max())
            departure.staleEntryAt = std::min(departure.staleEntryAt, m_world.now());
    }
    m_world.store.put("keyed.servers", m_id, entry("ready", 1));
}

void Upstream::noteDeparture(bool isRemoval)
{
    Departure departure;
    departure.upstream = m_id;
    departure.from = m_world.now();
    departure.isRemoval = isRemoval;
    m_world.history.departures.push_back(departure);
}

void Upstream::announceDraining()
{
    m_state = "draining";
    announce();
    noteDeparture(false);
}

void Upstream::withdraw()
{
    m_state = "gone";
    m_world.store.put("keyed.servers", m_id, std::nullopt);
    noteDeparture(true);
}

void Upstream::close()
{
    m_acceptor.reset();
    ++m_incarnation;
    for (auto *stream : m_streams)
        stream->close();
}

void Upstream::crash()
{
    m_state = "down";
    for (auto *stream : m_streams)
        reset(*stream);
    close();
}

void Upstream::reset(Stream &stream)
{
    boost::system::error_code ec;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    stream.close();
}

asio::awaitable<void> Upstream::beat(unsigned incarnation)
{
    const auto self = shared_from_this();
    while (!m_world.isStopping) {
        co_await pause(ReportInterval);
        if (incarnation != m_incarnation || m_state == "gone")
            co_return;
        if (!m_world.isStoreDown)
            announce();
    }
}

asio::awaitable<void> Upstream::accept(unsigned incarnation)
{
    const auto self = shared_from_this();
    while (incarnation == m_incarnation) {
        boost::system::error_code ec;
        auto socket =
            co_await m_acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        asio::co_spawn(m_world.context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Upstream::serve(tcp::socket socket)
{
    const auto self = shared_from_this();
    Stream stream(std::move(socket));
    m_streams.insert(&stream);
    boost::system::error_code ec;
    stream.socket().set_option(tcp::no_delay(true), ec);
    beast::flat_buffer buf;
    auto next = Next::Keep;
    while (next == Next::Keep && !ec) {
        http::request_parser<http::string_body> parser;
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
            next = co_await answer(stream, parser.get());
    }
    m_streams.erase(&stream);
    m_staleStreams.erase(&stream);
    stream.close();
}

asio::awaitable<bool> Upstream::write(Stream &stream, std::string bytes)
{
    boost::system::error_code ec;
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

asio::awaitable<Upstream::Next> Upstream::answer(Stream &stream, const Message &request)
{
    const std::string target(request.target());
    const auto expected = field(request, "X-Jujubesaddle-Expect-Instance");
    const auto id = field(request, "X-Jujubesaddle-Attempt-Id");
    if (id.empty()) {
        const auto report = R"({"Stage":"colocated","Models":[{"Name":"model","Version":1}],)"
                            R"("Busy":false,"Seq":0,"Waiting":0,"Running":0})";
        const bool isOther = !expected.empty() && expected != m_id;
        // A named object, because GCC 12 destroys the temporaries of both branches in a co_await.
        const auto bytes = isOther ? wholeAnswer(421, "", "") : wholeAnswer(200, "", report);
        const bool isWritten = co_await write(stream, bytes);
        co_return isWritten ? Next::Keep : Next::Close;
    }
    // Arrivals keep their place, so that a reference stays valid while others arrive.
    auto &arrivals = m_world.history.arrivals[id];
    auto &arrival = arrivals.emplace_back();
    arrival.upstream = m_id;
    arrival.incarnation = m_incarnation;
    arrival.at = m_world.now();
    arrival.target = target;
    arrival.isMisdirected = expected != m_id;
    if (arrival.isMisdirected) {
        arrival.status = 421;
        const auto fields =
            "X-Jujubesaddle-Not-Executed: 1\r\nX-Jujubesaddle-Attempt-Id: " + id + "\r\n";
        const bool isWritten = co_await write(stream, wholeAnswer(421, fields, ""));
        co_return isWritten ? Next::Keep : Next::Close;
    }
    auto &dice = m_world.dice;
    const bool isStaleWritten = co_await writeStale(stream);
    if (!isStaleWritten)
        co_return Next::Close;
    if (dice.chance(faults.resets)) {
        reset(stream);
        co_return Next::Close;
    }
    if (dice.chance(faults.rejects))
        co_return co_await reject(stream, arrival, id);
    arrival.hasRun = true;
    if (!field(request, "X-Jujubesaddle-Model").empty())
        co_return co_await answerStream(stream, arrival, request);
    co_return co_await answerWhole(stream, arrival, id);
}

void Upstream::nameLimit(std::optional<double> requestsPerSecond)
{
    auto &limits = m_world.history.limits;
    if (m_limit)
        limits[*m_limit].to = m_world.now();
    m_limit.reset();
    if (!requestsPerSecond)
        return;
    m_limit = limits.size();
    limits.push_back({m_id, m_incarnation, *requestsPerSecond});
}

std::string Upstream::notices(Arrival &arrival)
{
    std::string fields = m_saysLeaving ? "Server-Leaving: 1\r\n" : "";
    if (!m_limit)
        return fields;
    auto &limit = m_world.history.limits[*m_limit];
    arrival.limitNamedAt = m_world.now();
    limit.from = std::min(limit.from, arrival.limitNamedAt);
    return fields + "Server-Limit: " + std::to_string(limit.requestsPerSecond) + "\r\n";
}

asio::awaitable<Upstream::Next> Upstream::reject(Stream &stream, Arrival &arrival, std::string id)
{
    auto &dice = m_world.dice;
    arrival.status = 503;
    auto fields = "X-Jujubesaddle-Not-Executed: 1\r\nX-Jujubesaddle-Attempt-Id: " + id + "\r\n"
                  + notices(arrival);
    Time retryAfter {0};
    if (dice.chance(faults.namesTimes)) {
        const auto seconds = dice.between(1, 4);
        retryAfter = std::chrono::seconds(seconds);
        fields += "Retry-After: " + std::to_string(seconds) + "\r\n";
    }
    const auto bytes = wholeAnswer(503, fields, "full");
    bool isWritten = co_await write(stream, bytes);
    arrival.answeredAt = m_world.now();
    arrival.retryAfter = isWritten ? retryAfter : 0ms;
    if (isWritten && dice.chance(faults.repeatsRejections))
        m_staleStreams.insert(&stream);
    if (isWritten && dice.chance(faults.repeatsAnswers)) {
        co_await pause(dice.time(0, 30));
        isWritten = co_await write(stream, bytes);
    }
    arrival.isAnswered = isWritten;
    co_return isWritten ? Next::Keep : Next::Close;
}

asio::awaitable<bool> Upstream::writeStale(Stream &stream)
{
    if (m_staleStreams.erase(&stream) == 0)
        co_return true;
    co_return co_await write(stream,
                             wholeAnswer(503, "X-Jujubesaddle-Not-Executed: 1\r\n", "full"));
}

asio::awaitable<Upstream::Next> Upstream::stall(Stream &stream)
{
    // Until the caller closes or the process ends.
    boost::system::error_code ec;
    std::array<char, 1> byte {};
    co_await stream.async_read_some(asio::buffer(byte),
                                    asio::redirect_error(asio::use_awaitable, ec));
    co_return Next::Close;
}

asio::awaitable<Upstream::Next> Upstream::writeEndlessly(Stream &stream, std::string bytes) const
{
    while (bytes.size() < EndlessPiece)
        bytes += bytes;
    bool isWritten = true;
    while (isWritten && !m_world.isStopping) {
        isWritten = co_await write(stream, bytes);
        co_await pause(EndlessPause);
    }
    co_return Next::Close;
}

asio::awaitable<Upstream::Next> Upstream::answerWhole(Stream &stream, Arrival &arrival,
                                                      std::string id)
{
    auto &dice = m_world.dice;
    co_await pause(dice.time(10, 60));
    if (dice.chance(faults.losesAnswers)) {
        reset(stream);
        co_return Next::Close;
    }
    arrival.seal = newSeal();
    arrival.status = dice.chance(faults.internalErrors) ? 500 : 200;
    arrival.body = "answer " + arrival.seal + " to " + id + " of " + m_id
                   + std::string(static_cast<std::size_t>(dice.between(0, 800)), '.');
    arrival.saysLeaving = m_saysLeaving;
    if (dice.chance(faults.stalls))
        co_return co_await stall(stream);
    if (dice.chance(faults.isEndless)) {
        if (dice.chance(0.5))
            co_return co_await writeEndlessly(stream, "X-Endless: bytes\r\n");
        const auto start =
            head(200, answerFields(id, arrival.seal) + "Transfer-Encoding: chunked\r\n");
        const bool isStarted = co_await write(stream, start);
        if (!isStarted)
            co_return Next::Close;
        co_return co_await writeEndlessly(stream, chunk(std::string(EndlessPiece, 'x')));
    }
    auto bytes = wholeAnswer(arrival.status, answerFields(id, arrival.seal) + notices(arrival),
                             arrival.body);
    if (dice.chance(faults.truncates)) {
        co_await write(stream, bytes.substr(0, bytes.size() - arrival.body.size() / 2));
        co_return Next::Close;
    }
    bool isWritten = co_await write(stream, bytes);
    arrival.isAnswered = isWritten;
    arrival.answeredAt = m_world.now();
    if (isWritten && dice.chance(faults.repeatsRejections))
        m_staleStreams.insert(&stream);
    if (isWritten && dice.chance(faults.repeatsAnswers)) {
        co_await pause(dice.time(0, 30));
        isWritten = co_await write(stream, bytes);
    }
    co_return isWritten ? Next::Keep : Next::Close;
}

asio::awaitable<Upstream::Next> Upstream::answerStream(Stream &stream, Arrival &arrival,
                                                       const Message &request)
{
    auto &dice = m_world.dice;
    const auto id = field(request, "X-Jujubesaddle-Attempt-Id");
    const auto usage = field(request, "X-Jujubesaddle-Token-Usage");
    const auto last = field(request, "Last-Event-Id");
    const auto events = std::stoul(usage.substr(usage.find(',') + 1));
    co_await pause(dice.time(10, 60));
    arrival.seal = newSeal();
    if (!last.empty() && dice.chance(faults.resumeErrors)) {
        arrival.status = 500;
        arrival.body = "{\"error\":\"the stream cannot be resumed\"}";
        const bool isWritten = co_await write(
            stream, wholeAnswer(arrival.status, answerFields(id, arrival.seal), arrival.body));
        co_return isWritten ? Next::Keep : Next::Close;
    }
    arrival.status = 200;
    bool isWritten = co_await write(
        stream,
        head(200, answerFields(id, arrival.seal) + notices(arrival)
                      + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    arrival.saysLeaving = m_saysLeaving;
    const bool isBroken = dice.chance(faults.breaksStreams);
    const bool isSlow = dice.chance(faults.isSlow);
    const bool stalls = dice.chance(faults.stalls);
    for (auto n = last.empty() ? 1 : std::stoul(last) + 1; n <= events && isWritten; ++n) {
        const auto bytes = chunk(eventText(id, static_cast<unsigned>(n)));
        if (isBroken && dice.chance(3.0 / static_cast<double>(events))) {
            const auto part = dice.between(0, static_cast<std::int64_t>(bytes.size()) - 1);
            co_await write(stream, bytes.substr(0, static_cast<std::size_t>(part)));
            if (dice.chance(0.5))
                reset(stream);
            co_return Next::Close;
        }
        if (stalls && n > events / 2)
            co_return co_await stall(stream);
        isWritten = co_await write(stream, bytes);
        co_await pause(isSlow ? dice.time(200, 1'200) : dice.time(10, 40));
    }
    if (isWritten)
        isWritten = co_await write(stream, "0\r\n\r\n");
    arrival.isAnswered = isWritten;
    arrival.answeredAt = m_world.now();
    co_return isWritten ? Next::Keep : Next::Close;
}

} // namespace Soak
