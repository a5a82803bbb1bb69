#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Publishes in one environment the bytes that another one has accepted.
boost::asio::awaitable<ExitCode> configPromote(Context &context);

} // namespace Jujubectl
