#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Starts a stream over whose records no longer lead to a document. Refused for a generation that
/// is not above what every reachable instance has in force.
boost::asio::awaitable<ExitCode> configRestart(Context &context);

} // namespace Jujubectl
