#pragma once

#include <boost/asio/awaitable.hpp>
#include <jujubectl/Context.h>

namespace Jujubectl {

/// Drains an instance: it accepts no new requests.
boost::asio::awaitable<ExitCode> drain(Context &context);

} // namespace Jujubectl
