#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Shows which upstream a request would go to, with the terms of the choice.
boost::asio::awaitable<ExitCode> explain(Context &context);

} // namespace Jujubectl
