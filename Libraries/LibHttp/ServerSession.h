#pragma once

#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace Http {

/// Serves the requests of a connection sequentially until it closes, and then releases its share of
/// what keeps the server open.
boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket,
                                             std::shared_ptr<Server::Shared> shared,
                                             std::shared_ptr<void> open);

} // namespace Http
