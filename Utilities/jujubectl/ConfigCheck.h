#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Names every fault of a document.
boost::asio::awaitable<ExitCode> configCheck(Context &context);

} // namespace Jujubectl
