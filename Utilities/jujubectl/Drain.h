#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Lets one instance take no new work.
boost::asio::awaitable<ExitCode> drain(Context &context);

} // namespace Jujubectl
