#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Offers a document to the environment and reports the log's verdict.
boost::asio::awaitable<ExitCode> configPublish(Context &context);

} // namespace Jujubectl
