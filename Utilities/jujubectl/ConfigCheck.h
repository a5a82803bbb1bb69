#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Prints every error in a document.
boost::asio::awaitable<ExitCode> configCheck(Context &context);

} // namespace Jujubectl
