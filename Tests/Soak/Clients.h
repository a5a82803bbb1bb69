#pragma once

#include "GatewayFleet.h"
#include "World.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace Soak {

/// Clients that send requests one after the other, on connections that they keep.
class Clients
{
public:
    Clients(World &world, const GatewayFleet &gateways)
        : m_world(world)
        , m_gateways(gateways)
    { }

    /// Starts one more client.
    void add();
    /// Starts a client that holds a connection without a request until the other side ends it.
    void addIdle();
    std::size_t active() const { return m_active; }

private:
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> holdConnections();
    /// Sends requests on one connection until either side ends it.
    boost::asio::awaitable<void> useConnection();
    /// Returns whether the connection can be used again.
    boost::asio::awaitable<bool> exchange(Stream &stream, boost::beast::flat_buffer &buf,
                                          Request &request);
    Request &newRequest(const std::string &instance);
    std::size_t pickInstance();

    World &m_world;
    const GatewayFleet &m_gateways;
    unsigned m_count = 0;
    std::size_t m_active = 0;
};

} // namespace Soak
