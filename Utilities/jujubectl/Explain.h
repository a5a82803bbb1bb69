#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows which upstream a request would be placed on, with the terms of its score.
boost::asio::awaitable<ExitCode> explain(Context &context);

} // namespace Jujubectl
