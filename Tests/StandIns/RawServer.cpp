#include "RawServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <optional>
#include <sstream>

namespace StandIns {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto BytePause = 100us;
constexpr std::string_view HeadEnd = "\r\n\r\n";

Http::Request parseHead(const std::string &head)
{
    std::istringstream lines(head);
    Http::Request request;
    std::string line;
    lines >> request.method >> request.target;
    std::getline(lines, line);
    while (std::getline(lines, line) && line.size() > 1) {
        line.pop_back();
        const auto colon = line.find(": ");
        request.headers.add(line.substr(0, colon), line.substr(colon + 2));
    }
    return request;
}

/// Reads a request; empty when the client closes the connection first.
std::optional<Http::Request> readRequest(asio::ip::tcp::socket &socket, bool readsBody)
{
    std::string bytes;
    boost::system::error_code ec;
    const auto size = asio::read_until(socket, asio::dynamic_buffer(bytes), HeadEnd, ec);
    if (ec)
        return std::nullopt;
    auto request = parseHead(bytes.substr(0, size));
    request.body = bytes.substr(size);
    if (const auto length = request.headers.find("Content-Length"); length && readsBody) {
        const auto missing = std::stoul(std::string(*length)) - request.body.size();
        asio::read(socket, asio::dynamic_buffer(request.body), asio::transfer_exactly(missing), ec);
    }
    return request;
}

} // namespace

RawConnection::RawConnection(asio::ip::tcp::socket &socket)
    : m_socket(socket)
{ }

void RawConnection::send(std::string_view bytes)
{
    // The client may have closed the connection.
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes), ec);
    m_isClosed = m_isClosed || ec;
}

void RawConnection::sendSlowly(std::string_view bytes)
{
    for (const auto &byte : bytes) {
        send(std::string_view(&byte, 1));
        std::this_thread::sleep_for(BytePause);
    }
}

void RawConnection::end()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::socket_base::shutdown_send, ec);
}

void RawConnection::reset()
{
    m_isReset = true;
    m_socket.set_option(asio::socket_base::linger(true, 0));
    m_socket.close();
}

RawServer::RawServer(Script script, Reading reading)
    : m_script(std::move(script))
    , m_reading(reading)
    , m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_endpoint(m_acceptor.local_endpoint())
    , m_thread([this] { accept(); })
{ }

RawServer::~RawServer()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &socket : m_sockets) {
            boost::system::error_code ec;
            socket.shutdown(asio::socket_base::shutdown_both, ec);
        }
    }
    for (auto &connection : m_connections)
        connection.join();
}

std::vector<Http::Request> RawServer::requests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests;
}

void RawServer::accept()
{
    for (;;) {
        Socket accepted(m_context);
        boost::system::error_code ec;
        m_acceptor.accept(accepted, ec);
        if (ec)
            return;
        accepted.set_option(asio::ip::tcp::no_delay(true));
        const std::scoped_lock lock(m_mutex);
        auto &socket = m_sockets.emplace_back(std::move(accepted));
        m_connections.emplace_back([this, &socket] { serve(socket); });
    }
}

void RawServer::serve(Socket &socket)
{
    ++m_openConnections;
    RawConnection connection(socket);
    bool isKept = true;
    while (isKept) {
        const auto request = readRequest(socket, m_reading == Reading::Whole);
        if (!request)
            break;
        {
            const std::scoped_lock lock(m_mutex);
            m_requests.push_back(*request);
        }
        m_script(connection, *request);
        connection.noteServed();
        isKept = connection.takeKept();
        if (!isKept && !connection.isReset()) {
            connection.end();
            awaitClose(socket);
        }
    }
    --m_openConnections;
}

void RawServer::awaitClose(Socket &socket)
{
    std::array<char, 1024> buf {};
    for (;;) {
        boost::system::error_code ec;
        const auto n = socket.read_some(asio::buffer(buf), ec);
        if (ec)
            return;
        m_bytesAfterEnd += n;
    }
}

} // namespace StandIns
