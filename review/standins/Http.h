#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

/// Small stand-ins for the review's scripts: blocking sockets, one thread for each connection.
namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A request or a response. Header names are in lower case.
struct Message
{
    std::string method = "GET";
    std::string target = "/";
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
};

inline std::string lowered(std::string text)
{
    for (auto &c : text)
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    return text;
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns a listening socket on a free port of the loopback address.
inline int listenOnFreePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(0);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(fd, 1024) != 0)
        throw std::runtime_error("no free port");
    return fd;
}

/// Returns a port that is free for connections and datagrams.
inline std::uint16_t freePort()
{
    for (;;) {
        const int fd = listenOnFreePort();
        const auto port = portOf(fd);
        const int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool isFree =
            ::bind(datagrams, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(datagrams);
        ::close(fd);
        if (isFree)
            return port;
    }
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// Reads messages with a length, in chunks or up to the end of the connection.
class MessageReader
{
public:
    explicit MessageReader(int fd)
        : m_fd(fd)
    { }

    /// Returns nothing if the connection ended or the time was over before the whole message.
    std::optional<Message> read(bool isResponse, Clock::time_point until)
    {
        m_isTimeOver = false;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        auto message = parseHead(m_buffer.substr(0, end), isResponse);
        m_buffer.erase(0, end + 4);
        const auto length = message.header("content-length");
        if (lowered(message.header("transfer-encoding")).find("chunked") != std::string::npos)
            return readChunks(std::move(message), until);
        if (!length.empty()) {
            const auto size = std::stoull(length);
            while (m_buffer.size() < size) {
                if (!fill(until))
                    return std::nullopt;
            }
            message.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
        }
        return message;
    }
    bool isTimeOver() const { return m_isTimeOver; }

private:
    static Message parseHead(const std::string &head, bool isResponse)
    {
        Message message;
        auto at = head.find("\r\n");
        const auto first = head.substr(0, at);
        const auto space = first.find(' ');
        const auto second = first.find(' ', space + 1);
        if (isResponse) {
            message.status = std::atoi(first.c_str() + space + 1);
        } else {
            message.method = first.substr(0, space);
            message.target = first.substr(space + 1, second - space - 1);
        }
        while (at != std::string::npos) {
            const auto next = head.find("\r\n", at + 2);
            const auto line =
                head.substr(at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.headers.try_emplace(lowered(line.substr(0, colon)), value);
            }
            at = next;
        }
        return message;
    }

    std::optional<Message> readChunks(Message message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return std::nullopt;
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(until))
                    return std::nullopt;
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return message;
        }
    }

    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
        pollfd entry {m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<long>(left, 600'000))) <= 0) {
            m_isTimeOver = true;
            return false;
        }
        char bytes[16'384];
        const auto n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_buffer;
    bool m_isTimeOver = false;
};

inline std::string responseBytes(const Message &message)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(message.status) + " Answer\r\n";
    for (const auto &[name, value] : message.headers)
        bytes += name + ": " + value + "\r\n";
    return bytes + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n"
           + message.body;
}

/// Serves HTTP/1.1 on a free port until the process ends.
class HttpServer
{
public:
    /// Answers a request on the connection. Returns whether the connection stays open.
    using Handler = std::function<bool(int fd, const Message &request)>;

    explicit HttpServer(Handler handler)
        : m_handler(std::move(handler))
        , m_listener(listenOnFreePort())
        , m_port(portOf(m_listener))
    {
        std::thread([this] { accept(); }).detach();
    }
    std::uint16_t port() const { return m_port; }
    /// Closes the port and, soon after, all connections that are idle.
    void stop()
    {
        if (!m_isStopped.exchange(true))
            ::shutdown(m_listener, SHUT_RDWR);
    }
    bool isStopped() const { return m_isStopped; }
    /// Ends all connections at once, also those that wait for an answer, like the end of a process.
    void crash()
    {
        stop();
        const std::scoped_lock lock(m_mutex);
        for (const int fd : m_connections)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] { serve(fd); }).detach();
        }
        ::close(m_listener);
    }

    void serve(int fd)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_connections.insert(fd);
        }
        MessageReader reader(fd);
        bool isOpen = true;
        while (isOpen && !m_isStopped) {
            const auto request = reader.read(false, Clock::now() + Milliseconds(200));
            if (!request && reader.isTimeOver())
                continue;
            isOpen = request && m_handler(fd, *request);
        }
        const std::scoped_lock lock(m_mutex);
        m_connections.erase(fd);
        ::close(fd);
    }

    Handler m_handler;
    int m_listener;
    std::uint16_t m_port;
    std::atomic<bool> m_isStopped {false};
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// The end of one request as its sender sees it.
struct Outcome
{
    enum class Kind { Answered, Unanswered, Closed, NotConnected };
    Kind kind = Kind::NotConnected;
    Message response;
    Milliseconds took {0};

    std::string text() const
    {
        switch (kind) {
        case Kind::Answered:
            return std::to_string(response.status);
        case Kind::Unanswered:
            return "no answer";
        case Kind::Closed:
            return "channel closed";
        case Kind::NotConnected:
            break;
        }
        return "not connected";
    }
};

/// A channel of a requester, which may be used for several requests.
class Channel
{
public:
    explicit Channel(std::uint16_t port)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_reader(m_fd)
    {
        const auto address = loopback(port);
        m_isOpen =
            ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Channel() { ::close(m_fd); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    bool isOpen() const { return m_isOpen; }

    Outcome send(const Message &request, Milliseconds patience)
    {
        Outcome outcome;
        if (!m_isOpen)
            return outcome;
        std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : request.headers)
            bytes += name + ": " + value + "\r\n";
        if (request.method != "GET")
            bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        const auto start = Clock::now();
        std::optional<Message> response;
        if (sendAll(m_fd, bytes + "\r\n" + request.body))
            response = m_reader.read(true, start + patience);
        outcome.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
        outcome.kind = response                ? Outcome::Kind::Answered
                       : m_reader.isTimeOver() ? Outcome::Kind::Unanswered
                                               : Outcome::Kind::Closed;
        if (response)
            outcome.response = std::move(*response);
        m_isOpen = outcome.kind == Outcome::Kind::Answered
                   && lowered(outcome.response.header("connection")) != "close";
        return outcome;
    }

private:
    int m_fd;
    MessageReader m_reader;
    bool m_isOpen = false;
};

} // namespace Review
