#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Prints the log lines of several instances about one request in chronological order: the
/// request's own lines, and concurrent events about the upstreams that it was sent to.
boost::asio::awaitable<ExitCode> trace(Context &context);

} // namespace Jujubectl
