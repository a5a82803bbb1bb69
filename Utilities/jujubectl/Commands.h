#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Runs the command that the settings name. Reports an error as a message and an exit code.
boost::asio::awaitable<ExitCode> runCommand(Context &context);

} // namespace Jujubectl
