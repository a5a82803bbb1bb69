#include <StandIns/StandInProgram.h>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <iostream>

namespace StandIns {

int runStandIn(unsigned short port, std::size_t threadCount, const Http::Server::Handler &handler)
{
    boost::asio::io_context signals;
    boost::asio::signal_set stop(signals, SIGTERM, SIGINT);
    Core::IoThreads threads(threadCount);
    Http::ServerLimits limits;
    limits.bodyBytes = 64 * 1024 * 1024;
    const Http::Endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    auto server = Http::Server::create(threads, endpoint, limits, handler);
    if (!server.has_value()) {
        std::cerr << server.error().what() << '\n';
        return 2;
    }
    std::cout << "listening on " << Http::formatEndpoint(server.value()->localEndpoint())
              << std::endl;
    stop.async_wait([](const auto &, int) {});
    signals.run();
    threads.stop();
    return 0;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

long long queryNumber(std::string_view target, std::string_view name, long long fallback)
{
    const auto question = target.find('?');
    auto query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        const auto equals = pair.find('=');
        long long value = fallback;
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            std::from_chars(pair.data() + equals + 1, pair.data() + pair.size(), value);
            return value;
        }
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return fallback;
}

boost::asio::awaitable<void> answerJson(Http::ServerExchange &exchange, boost::json::value value)
{
    co_await exchange.respond(Http::jsonResponse(200, boost::json::serialize(value)));
}

boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

long long numberOf(const boost::json::object &fields, std::string_view name, long long fallback)
{
    const auto *value = fields.if_contains(name);
    return value && value->is_number() ? value->to_number<long long>() : fallback;
}

} // namespace StandIns
