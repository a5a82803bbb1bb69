#include "WorkerStandIn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <thread>

namespace StandIns {

namespace asio = boost::asio;

namespace {

constexpr auto Model = "model";
constexpr std::chrono::milliseconds PollPause {5};

std::string header(const Http::Request &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(std::string_view()));
}

} // namespace

WorkerStandIn::WorkerStandIn(Core::IoThreads &threads, std::string id, std::string service)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_server(Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                                    [this](auto &exchange) { return handle(exchange); })
                   .value())
{ }

WorkerStandIn::~WorkerStandIn()
{
    m_server->stopAccepting();
    while (!m_server->hasEnded()) {
        m_server->closeIdle();
        std::this_thread::sleep_for(PollPause);
    }
}

std::string WorkerStandIn::entry(const std::string &state, unsigned sequence) const
{
    const boost::json::array models {
        boost::json::object {{"Name", Model}, {"Version", m_weights.load()}}};
    return boost::json::serialize(
        boost::json::object {{"Service", m_service},
                             {"Address", Http::formatEndpoint(m_server->localEndpoint())},
                             {"Zone", "a"},
                             {"Version", "v1"},
                             {"Slots", 8},
                             {"State", state},
                             {"ColdLeftMs", 0},
                             {"Models", models},
                             {"born", m_incarnation.load()},
                             {"Seq", sequence}});
}

void WorkerStandIn::setBehaviour(Behaviour behaviour)
{
    const std::scoped_lock lock(m_mutex);
    m_behaviour = std::move(behaviour);
}

std::vector<Http::Request> WorkerStandIn::requests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests;
}

std::vector<std::string> WorkerStandIn::orders() const
{
    const std::scoped_lock lock(m_mutex);
    return m_orders;
}

Http::Headers WorkerStandIn::answerHeaders(const Http::Request &request)
{
    Http::Headers headers;
    headers.add("X-Jujubesaddle-Attempt-Id", header(request, "X-Jujubesaddle-Attempt-Id"));
    headers.add("X-Jujubesaddle-Server-Seal", "seal");
    return headers;
}

asio::awaitable<void> WorkerStandIn::handle(Http::ServerExchange &exchange)
{
    const auto &request = exchange.request();
    const auto expected = header(request, "X-Jujubesaddle-Expect-Instance");
    const auto version = header(request, "X-Jujubesaddle-Expect-Version");
    if ((!expected.empty() && expected != m_id)
        || (!version.empty() && version != std::to_string(m_weights.load()))) {
        Http::Response response(421, {}, "");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (request.target == "/report") {
        co_await exchange.respond(report());
        co_return;
    }
    if (request.target == "/order") {
        co_await takeOrder(exchange);
        co_return;
    }
    Behaviour behaviour;
    {
        const std::scoped_lock lock(m_mutex);
        m_requests.push_back(request);
        behaviour = m_behaviour;
    }
    if (behaviour) {
        const bool isAnswered = co_await behaviour(exchange);
        if (isAnswered)
            co_return;
    }
    co_await serve(exchange);
}

asio::awaitable<void> WorkerStandIn::serve(Http::ServerExchange &exchange)
{
    ++m_runs;
    const auto &request = exchange.request();
    if (header(request, "X-Jujubesaddle-Model").empty()) {
        Http::Response response(200, answerHeaders(request), m_id);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto headers = answerHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    co_await exchange.startStream(200, std::move(headers));
    const auto last = header(request, "Last-Event-Id");
    const int events = m_events;
    for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= events; ++n)
        co_await exchange.write("id: " + std::to_string(n) + "\ndata: " + std::to_string(n)
                                + "\n\n");
    co_await exchange.finishStream();
}

asio::awaitable<void> WorkerStandIn::takeOrder(Http::ServerExchange &exchange)
{
    const auto order = boost::json::parse(exchange.request().body).as_object();
    std::size_t accepted = 0;
    {
        const std::scoped_lock lock(m_mutex);
        accepted = m_orders.size();
    }
    const auto version = order.at("Version").to_number<std::uint64_t>();
    Http::Response response(202, {}, "");
    if (version == m_weights)
        response.status = 200;
    else if (m_isBusy || order.at("Expect").to_number<std::size_t>() != accepted)
        response.status = 409;
    const bool isAccepted = response.status == 202;
    if (isAccepted) {
        m_isBusy = true;
        const std::scoped_lock lock(m_mutex);
        m_orders.push_back(exchange.request().body);
    }
    co_await exchange.respond(std::move(response));
    if (!isAccepted)
        co_return;
    asio::steady_timer timer(co_await asio::this_coro::executor, m_orderTime);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_weights = version;
    m_isBusy = false;
}

Http::Response WorkerStandIn::report() const
{
    const std::scoped_lock lock(m_mutex);
    const boost::json::array models {
        boost::json::object {{"Name", Model}, {"Version", m_weights.load()}}};
    return Http::jsonResponse(200,
                              boost::json::serialize(boost::json::object {{"Stage", "colocated"},
                                                                          {"Models", models},
                                                                          {"Busy", m_isBusy.load()},
                                                                          {"Seq", m_orders.size()},
                                                                          {"Waiting", 0},
                                                                          {"Running", 0}}));
}

} // namespace StandIns
