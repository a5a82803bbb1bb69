#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows whose capacity served whom, and whose stood idle.
boost::asio::awaitable<ExitCode> usage(Context &context);

} // namespace Jujubectl
