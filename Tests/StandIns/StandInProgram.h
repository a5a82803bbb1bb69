#pragma once

#include <LibHttp/Server.h>

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace StandIns {

/// Serves until SIGTERM or SIGINT. Prints "listening on ADDRESS:PORT" to standard output first.
int runStandIn(unsigned short port, std::size_t threads, const Http::Server::Handler &handler);

/// Returns the path of a request target, without its query.
std::string_view pathOf(std::string_view target);

/// Returns a number from the query of a request target, or the fallback.
long long queryNumber(std::string_view target, std::string_view name, long long fallback);

/// Answers 200 with a JSON value.
boost::asio::awaitable<void> answerJson(Http::ServerExchange &exchange, boost::json::value value);

/// Waits on the current executor.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

/// Returns a number from a JSON object, or the fallback.
long long numberOf(const boost::json::object &fields, std::string_view name, long long fallback);

} // namespace StandIns
