#pragma once

#include <LibHttp/Server.h>

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace StandIns {

/// Serves until SIGTERM or SIGINT. Prints "listening on ADDRESS:PORT" to standard output first.
int runStandIn(unsigned short port, std::size_t threads, const Http::Server::Handler &handler);

/// The path of a target, without its query.
std::string_view pathOf(std::string_view target);

/// A number from a target's query, or the fallback.
long long queryNumber(std::string_view target, std::string_view name, long long fallback);

/// Answers 200 with a JSON value.
boost::asio::awaitable<void> answerJson(Http::ServerExchange &exchange, boost::json::value value);

/// Waits on the present executor.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

/// A number from a JSON object, or the fallback.
long long numberOf(const boost::json::object &fields, std::string_view name, long long fallback);

} // namespace StandIns
