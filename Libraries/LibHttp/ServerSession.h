#pragma once

#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace Http {

/// Serves the requests of one connection, one after the other, until it ends.
boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket,
                                             std::shared_ptr<Server::Shared> shared);

} // namespace Http
