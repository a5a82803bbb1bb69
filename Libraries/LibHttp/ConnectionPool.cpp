#include <LibHttp/ConnectionPool.h>

#include <boost/asio/post.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Http {

namespace asio = boost::asio;

namespace {

/// Returns whether an idle connection is still open and no unexpected bytes have arrived on it.
bool isUsable(ClientConnection &connection)
{
    if (std::chrono::steady_clock::now() >= connection.idleTimer.expiry())
        return false;
    char byte = 0;
    const auto n =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::strong_ordering ConnectionPool::Key::operator<=>(const Key &other) const
{
    if (const auto order = context <=> other.context; std::is_neq(order))
        return order;
    if (endpoint == other.endpoint)
        return std::strong_ordering::equal;
    return endpoint < other.endpoint ? std::strong_ordering::less : std::strong_ordering::greater;
}

ClientConnectionPtr ConnectionPool::take(const Key &key)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_idle.find(key);
    if (found == m_idle.end())
        return nullptr;
    auto &connections = found->second;
    ClientConnectionPtr usable;
    while (!usable && !connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (isUsable(*connection))
            usable = std::move(connection);
    }
    if (connections.empty())
        m_idle.erase(found);
    if (usable) {
        boost::system::error_code ec;
        usable->stream.socket().cancel(ec);
        usable->idleTimer.cancel();
    }
    return usable;
}

void ConnectionPool::put(const Key &key, ClientConnectionPtr connection,
                         std::chrono::milliseconds idleTime)
{
    if (idleTime <= std::chrono::milliseconds::zero())
        return;
    {
        const std::scoped_lock lock(m_mutex);
        auto &connections = m_idle[key];
        if (connections.size() >= MaxConnectionsPerEndpoint)
            return;
        connections.push_back(connection);
    }
    watch(key, connection, idleTime);
}

void ConnectionPool::watch(const Key &key, const ClientConnectionPtr &connection,
                           std::chrono::milliseconds idleTime)
{
    const auto removeUnlessTaken = [pool = weak_from_this(), key, weak = std::weak_ptr(connection),
                                    call = connection->call](const auto &ec) {
        const auto alive = pool.lock();
        const auto idle = weak.lock();
        if (ec != asio::error::operation_aborted && alive && idle && idle->call == call)
            alive->remove(key, idle);
    };
    connection->idleTimer.expires_after(idleTime);
    connection->idleTimer.async_wait(removeUnlessTaken);
    connection->stream.socket().async_wait(asio::ip::tcp::socket::wait_read, removeUnlessTaken);
}

void ConnectionPool::remove(const Key &key, const ClientConnectionPtr &connection)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_idle.find(key);
    if (found == m_idle.end())
        return;
    std::erase(found->second, connection);
    if (found->second.empty())
        m_idle.erase(found);
}

void ConnectionPool::closeHalf()
{
    const std::scoped_lock lock(m_mutex);
    for (auto at = m_idle.begin(); at != m_idle.end();) {
        auto &connections = at->second;
        closeFirst(connections, (connections.size() + 1) / 2);
        at = connections.empty() ? m_idle.erase(at) : std::next(at);
    }
}

void ConnectionPool::close(const Endpoint &endpoint)
{
    const std::scoped_lock lock(m_mutex);
    for (auto at = m_idle.begin(); at != m_idle.end();) {
        if (at->first.endpoint != endpoint) {
            ++at;
            continue;
        }
        closeFirst(at->second, at->second.size());
        at = m_idle.erase(at);
    }
}

void ConnectionPool::closeFirst(Connections &connections, std::size_t count)
{
    const auto end = connections.begin() + static_cast<std::ptrdiff_t>(count);
    std::for_each(connections.begin(), end, [](auto &connection) {
        const auto executor = connection->stream.get_executor();
        asio::post(executor, [closing = std::move(connection)] {});
    });
    connections.erase(connections.begin(), end);
}

std::size_t ConnectionPool::size() const
{
    const std::scoped_lock lock(m_mutex);
    std::size_t size = 0;
    for (const auto &[key, connections] : m_idle)
        size += connections.size();
    return size;
}

} // namespace Http
