#pragma once

#include <LibHttp/Endpoint.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Http {

/// A connection of a client and its read buffer.
struct ClientConnection
{
    ClientConnection(const boost::asio::any_io_executor &executor, std::size_t bufferLimit)
        : stream(executor)
        , buf(bufferLimit)
        , idleTimer(executor)
    { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf;
    /// Number of completed calls, so that aborting an old call cannot close a later one.
    std::uint64_t call = 0;
    /// Runs while the connection is idle.
    boost::asio::steady_timer idleTimer;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// The idle connections of a client, per thread and endpoint. A connection is closed as soon as its
/// server closes it or sends unexpected bytes, and when its idle time is over. Safe from any
/// thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    /// A connection is bound to the thread that opened it, so the execution context is part of the
    /// key.
    struct Key
    {
        const void *context;
        Endpoint endpoint;
        std::strong_ordering operator<=>(const Key &other) const;
        bool operator==(const Key &) const = default;
    };

    /// Returns a connection that is still open, or null.
    ClientConnectionPtr take(const Key &key);
    /// Keeps a connection until it is taken, at most for the given time. To be called on its
    /// thread.
    void put(const Key &key, ClientConnectionPtr connection, std::chrono::milliseconds idleTime);
    /// Closes the half of each endpoint's connections that have been idle longest.
    void closeHalf();
    /// Closes all connections to the endpoint.
    void close(const Endpoint &endpoint);
    std::size_t size() const;

    static constexpr std::size_t MaxConnectionsPerEndpoint = 64;

private:
    using Connections = std::vector<ClientConnectionPtr>;

    void watch(const Key &key, const ClientConnectionPtr &connection,
               std::chrono::milliseconds idleTime);
    void remove(const Key &key, const ClientConnectionPtr &connection);
    /// Destroys the first connections of a list, each on its own thread.
    static void closeFirst(Connections &connections, std::size_t count);

    mutable std::mutex m_mutex;
    /// Of each endpoint, those that have been idle longest come first.
    std::map<Key, Connections> m_idle;
};

} // namespace Http
