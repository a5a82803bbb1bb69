#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows the generation, digest and publisher that the log has accepted.
boost::asio::awaitable<ExitCode> configShow(Context &context);

} // namespace Jujubectl
