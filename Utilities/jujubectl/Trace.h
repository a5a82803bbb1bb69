#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Prints what the logs of several instances tell of one request, in the order of time: its own
/// lines, and what was learnt meanwhile of the upstreams that it went to.
boost::asio::awaitable<ExitCode> trace(Context &context);

} // namespace Jujubectl
