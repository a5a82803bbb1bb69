#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows which teams' capacity served which teams, and how much was idle.
boost::asio::awaitable<ExitCode> usage(Context &context);

} // namespace Jujubectl
