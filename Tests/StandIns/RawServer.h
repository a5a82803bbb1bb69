#pragma once

#include <LibHttp/Endpoint.h>
#include <LibHttp/Message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace StandIns {

/// A connection whose server writes the bytes of its answer itself.
class RawConnection
{
public:
    explicit RawConnection(boost::asio::ip::tcp::socket &socket);

    void send(std::string_view bytes);
    /// Sends each byte on its own.
    void sendSlowly(std::string_view bytes);
    /// Closes the sending side.
    void end();
    void reset();
    bool isReset() const { return m_isReset; }
    /// Returns whether bytes could not be sent, because the client has closed the connection.
    bool isClosed() const { return m_isClosed; }
    /// Lets the connection serve another request after this one.
    void keep() { m_isKept = true; }
    /// Returns whether keep() was called for this request, and starts over.
    bool takeKept() { return std::exchange(m_isKept, false) && !m_isReset; }
    /// Returns the number of requests that the connection served before this one.
    std::size_t served() const { return m_served; }
    void noteServed() { ++m_served; }

private:
    boost::asio::ip::tcp::socket &m_socket;
    bool m_isReset = false;
    bool m_isClosed = false;
    bool m_isKept = false;
    std::size_t m_served = 0;
};

/// An HTTP server that answers one request on each connection, or several if the script keeps it,
/// with bytes of the test's choice.
class RawServer
{
public:
    /// Answers a request; called on the thread of its connection. The connection is ended
    /// afterwards, unless the script keeps it.
    using Script = std::function<void(RawConnection &, const Http::Request &)>;

    /// What the server reads of a request before it calls the script.
    enum class Reading {
        Whole,
        /// The script answers while the client may still write the body.
        Head,
    };

    explicit RawServer(Script script, Reading reading = Reading::Whole);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Http::Endpoint endpoint() const { return m_endpoint; }
    std::vector<Http::Request> requests() const;
    /// Returns the number of bytes that clients sent after the end of an answer.
    std::size_t bytesAfterEnd() const { return m_bytesAfterEnd; }
    /// Returns the number of connections that clients have not closed.
    std::size_t openConnections() const { return m_openConnections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket &socket);
    void awaitClose(Socket &socket);

    Script m_script;
    Reading m_reading;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Http::Endpoint m_endpoint;
    mutable std::mutex m_mutex;
    std::vector<Http::Request> m_requests;
    std::list<Socket> m_sockets;
    std::vector<std::thread> m_connections;
    std::atomic<std::size_t> m_bytesAfterEnd {0};
    std::atomic<std::size_t> m_openConnections {0};
    std::thread m_thread;
};

} // namespace StandIns
