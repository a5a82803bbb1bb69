#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Runs the command of the settings. An error becomes a message and its exit code.
boost::asio::awaitable<ExitCode> runCommand(Context &context);

} // namespace Jujubectl
