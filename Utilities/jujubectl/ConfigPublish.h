#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Publishes a document to the environment and reports whether the log accepted it.
boost::asio::awaitable<ExitCode> configPublish(Context &context);

} // namespace Jujubectl
