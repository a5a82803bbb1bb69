#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows every instance with its configuration and upstreams.
boost::asio::awaitable<ExitCode> status(Context &context);

} // namespace Jujubectl
