#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Waits until a generation is in force on every live instance, reporting progress.
boost::asio::awaitable<ExitCode> configWatch(Context &context);

} // namespace Jujubectl
