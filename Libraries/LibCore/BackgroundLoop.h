#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace Core {

/// The body of a loop. It runs until the loop is no longer needed.
using LoopBody = std::function<boost::asio::awaitable<void>()>;

/// Runs a background loop on the executor. An exception that leaves the body is logged with the
/// name, and the body starts again after a pause.
void spawnLoop(const boost::asio::any_io_executor &executor, std::string name, LoopBody body);

/// Logs an unexpected exception and where it was caught. Never throws.
void logUnexpected(std::string_view where, std::string_view what) noexcept;

} // namespace Core
