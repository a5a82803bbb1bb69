#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Restarts a configuration stream whose records no longer yield a document. Refuses a generation
/// that is not above the one in force on every reachable instance.
boost::asio::awaitable<ExitCode> configRestart(Context &context);

} // namespace Jujubectl
