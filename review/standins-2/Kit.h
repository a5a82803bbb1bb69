#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Small stand-ins for the cases of the second review: the platform's store, HTTP servers for
/// workers, clients, and the processes of the gateway. They use blocking sockets and threads, all
/// on the loopback address.
namespace Review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline void sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes what happened, with the time since the start, to a file.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_begin(Clock::now())
    { }

    /// Lets the times count from now on.
    void restart() { m_begin = Clock::now(); }
    double now() const { return std::chrono::duration<double>(Clock::now() - m_begin).count(); }

    template <typename... Texts>
    void line(const Texts &...texts)
    {
        std::ostringstream text;
        text.precision(3);
        text << std::fixed << now();
        ((text << ' ' << texts), ...);
        const std::scoped_lock lock(m_mutex);
        m_file << text.str() << std::endl;
    }

private:
    std::ofstream m_file;
    Clock::time_point m_begin;
    std::mutex m_mutex;
};

struct Field
{
    std::string name;
    std::string value;
};

/// A request or an answer.
struct Message
{
    std::string firstLine;
    std::vector<Field> fields;
    std::string body;
    /// Whether all of the body has arrived.
    bool isComplete = false;

    std::string find(std::string_view name) const
    {
        const auto isSame = [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a))
                   == std::tolower(static_cast<unsigned char>(b));
        };
        for (const auto &field : fields) {
            if (std::equal(field.name.begin(), field.name.end(), name.begin(), name.end(), isSame))
                return field.value;
        }
        return {};
    }
    std::string word(int index) const
    {
        std::istringstream words(firstLine);
        std::string result;
        for (int n = 0; n <= index; ++n)
            words >> result;
        return result;
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && !m_isReset) {
            const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return !m_isReset;
    }
    /// Reads until the head and the body are complete; returns whether the head is.
    bool read(Message &message, bool isAnswer)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, message.firstLine);
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            message.fields.push_back({line.substr(0, colon), value});
        }
        message.isComplete = readBody(message, isAnswer);
        return isAnswer || message.isComplete;
    }
    /// Lets a pending or later read fail, and resets the connection when it is closed.
    void reset()
    {
        const std::scoped_lock lock(m_mutex);
        m_isReset = true;
        if (m_isOpen)
            ::shutdown(m_socket, SHUT_RD);
    }
    void close()
    {
        const std::scoped_lock lock(m_mutex);
        if (!std::exchange(m_isOpen, false))
            return;
        if (m_isReset) {
            const linger now {1, 0};
            ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        ::close(m_socket);
    }
    bool isReset() const { return m_isReset; }
    /// Returns whether the other end has closed the connection.
    bool isClosed() const
    {
        char byte = 0;
        const auto n = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void limitReads(std::chrono::milliseconds time)
    {
        const timeval limit {time.count() / 1000, (time.count() % 1000) * 1000};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

private:
    bool fill()
    {
        std::array<char, 16384> bytes {};
        const auto n = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (n <= 0 || m_isReset)
            return false;
        m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
        return true;
    }
    bool take(std::string &to, std::size_t size)
    {
        while (m_buffer.size() < size) {
            if (!fill())
                return false;
        }
        to.append(m_buffer, 0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool takeLine(std::string &line)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }
    bool readBody(Message &message, bool isAnswer)
    {
        if (message.find("Transfer-Encoding") == "chunked") {
            for (;;) {
                std::string line;
                std::string rest;
                if (!takeLine(line))
                    return false;
                const auto size = std::strtoull(line.c_str(), nullptr, 16);
                if (size > 0 && !take(message.body, size))
                    return false;
                if (!takeLine(rest))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        const auto length = message.find("Content-Length");
        if (!length.empty())
            return take(message.body, std::strtoull(length.c_str(), nullptr, 10));
        if (isAnswer) {
            while (fill()) { }
            message.body += std::exchange(m_buffer, {});
        }
        return true;
    }

    const int m_socket;
    std::mutex m_mutex;
    bool m_isOpen = true;
    std::string m_buffer;
    std::atomic<bool> m_isReset {false};
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a port that is free for connections and datagrams, below those that the system hands
/// out.
inline int freePort()
{
    constexpr int First = 20'000;
    constexpr int Count = 12'000;
    static int next = static_cast<int>(::getpid()) * 61;
    for (;;) {
        const int port = First + next++ % Count;
        const int stream = ::socket(AF_INET, SOCK_STREAM, 0);
        const int datagrams = ::socket(AF_INET, SOCK_DGRAM, 0);
        const auto address = loopback(port);
        const auto *named = reinterpret_cast<const sockaddr *>(&address);
        const bool isFree = ::bind(stream, named, sizeof(address)) == 0
                            && ::bind(datagrams, named, sizeof(address)) == 0;
        ::close(stream);
        ::close(datagrams);
        if (isFree)
            return port;
    }
}

/// Connects to a port of the loopback address; null if nothing listens there.
inline std::unique_ptr<Connection> connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Connection>(socket);
}

/// An HTTP server with a thread for each connection.
class Server
{
public:
    /// Answers a request; returns whether the connection may serve another one.
    using Handler = std::function<bool(Connection &, const Message &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        start();
    }
    ~Server() { stop(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    int port() const { return m_port; }

    /// Listens at a free port.
    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = loopback(0);
        socklen_t size = sizeof(address);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(m_listener, 1024) != 0)
            std::exit(2);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_isStopped = false;
        m_thread = std::thread([this] { accept(); });
    }
    /// Resets all connections and stops to listen. Not to be called by a handler.
    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        m_thread.join();
        ::close(m_listener);
        std::list<Served> served;
        {
            const std::scoped_lock lock(m_mutex);
            served.swap(m_served);
        }
        for (auto &item : served)
            item.connection->reset();
        for (auto &item : served)
            item.thread.join();
    }

private:
    struct Served
    {
        std::shared_ptr<Connection> connection;
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> hasEnded;
    };

    void accept()
    {
        while (!m_isStopped) {
            pollfd waiting {m_listener, POLLIN, 0};
            if (::poll(&waiting, 1, 5) <= 0)
                continue;
            const int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket < 0)
                continue;
            auto connection = std::make_shared<Connection>(socket);
            auto hasEnded = std::make_shared<std::atomic<bool>>(false);
            const std::scoped_lock lock(m_mutex);
            for (auto it = m_served.begin(); it != m_served.end();) {
                if (!*it->hasEnded) {
                    ++it;
                    continue;
                }
                it->thread.join();
                it = m_served.erase(it);
            }
            std::thread thread([this, weak = std::weak_ptr(connection), hasEnded] {
                if (const auto own = weak.lock())
                    serve(*own);
                *hasEnded = true;
            });
            m_served.push_back({std::move(connection), std::move(thread), std::move(hasEnded)});
        }
    }
    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request, false) && m_handler(connection, request)) { }
        connection.close();
    }

    Handler m_handler;
    std::atomic<int> m_port {0};
    int m_listener = -1;
    std::atomic<bool> m_isStopped {true};
    std::thread m_thread;
    std::mutex m_mutex;
    std::list<Served> m_served;
};

inline std::string answer(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

inline std::string base64(std::string_view bytes)
{
    constexpr std::string_view Letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n)
            group = group << 8U
                    | (at + n < bytes.size() ? static_cast<unsigned char>(bytes[at + n]) : 0U);
        for (std::size_t n = 0; n < 4; ++n)
            text += at + n <= bytes.size() ? Letters[group >> (18U - 6U * n) & 63U] : '=';
    }
    return text;
}

template <typename Number>
std::string bigEndian(Number number)
{
    std::string bytes;
    for (std::size_t n = sizeof(Number); n-- > 0;)
        bytes += static_cast<char>(number >> (8U * n) & 0xffU);
    return bytes;
}

/// The platform's store: topics with one partition, which lose nothing, and linearizable answers.
class Store
{
public:
    Store()
        : m_server([this](Connection &connection, const Message &request) {
            return handle(connection, request);
        })
    { }

    int port() const { return m_server.port(); }

    /// Writes a record as the operator and workers do. An empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back(static_cast<char>(key.size()) + key + value);
        m_changed.notify_all();
    }

private:
    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        std::istringstream pairs(target.substr(std::min(target.size(), target.find('?') + 1)));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const auto sign = pair.find('=');
            query[pair.substr(0, sign)] = pair.substr(sign + 1);
        }
        return query;
    }

    bool handle(Connection &connection, const Message &request)
    {
        auto query = queryOf(request.target());
        const auto path = request.target().substr(0, request.target().find('?'));
        std::unique_lock lock(m_mutex);
        auto &topic = m_topics[query["Topic"]];
        if (path == "/log-append") {
            const auto result = append(topic, query, request.body);
            lock.unlock();
            return connection.send(result);
        }
        if (path == "/log-read") {
            const auto from = std::strtoull(query["From"].c_str(), nullptr, 10);
            const std::chrono::milliseconds wait(std::atoi(query["WaitMs"].c_str()));
            m_changed.wait_for(lock, wait, [&] { return topic.size() > from; });
            auto body = bigEndian<std::uint64_t>(topic.size()) + bigEndian<std::uint64_t>(0);
            for (auto at = from; at < topic.size(); ++at)
                body += bigEndian(static_cast<std::uint32_t>(topic[at].size())) + topic[at];
            lock.unlock();
            return connection.send(answer(200, body));
        }
        if (path == "/log-newest") {
            const auto result = newest(topic);
            lock.unlock();
            return connection.send(result);
        }
        return connection.send(answer(404, "{}"));
    }

    std::string append(std::vector<std::string> &topic,
                       const std::map<std::string, std::string> &query, std::string_view body)
    {
        const auto end = [&topic] { return "\"End\":" + std::to_string(topic.size()); };
        const auto at = query.find("At");
        if (at != query.end() && std::strtoull(at->second.c_str(), nullptr, 10) != topic.size())
            return answer(412, "{" + end() + "}");
        const auto offset = std::to_string(topic.size());
        while (body.size() >= 4) {
            std::size_t size = 0;
            for (std::size_t n = 0; n < 4; ++n)
                size = size << 8U | static_cast<unsigned char>(body[n]);
            topic.emplace_back(body.substr(4, size));
            body.remove_prefix(std::min(body.size(), 4 + size));
        }
        m_changed.notify_all();
        return answer(200, "{\"Offset\":" + offset + "," + end() + "}");
    }

    static std::string newest(const std::vector<std::string> &topic)
    {
        std::map<std::string, std::size_t> keys;
        for (std::size_t n = 0; n < topic.size(); ++n)
            keys[topic[n].substr(1, static_cast<unsigned char>(topic[n][0]))] = n;
        std::string items;
        for (const auto &[key, n] : keys) {
            const auto value = topic[n].substr(1 + key.size());
            if (!value.empty())
                items += (items.empty() ? "" : ",") + ("{\"Key\":\"" + key) + "\",\"Value\":\""
                         + base64(value) + "\",\"Offset\":" + std::to_string(n) + "}";
        }
        return answer(200, "{\"items\":[" + items + "],\"HasMore\":false,\"End\":"
                               + std::to_string(topic.size()) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    Server m_server;
};

/// A gateway, started as the deploy file says.
class Gateway
{
public:
    Gateway(const std::string &folder, int number, int storePort)
        : m_settings(folder + "/gateway-" + std::to_string(number) + ".toml")
        , m_output(folder + "/gateway-" + std::to_string(number) + ".log")
        , m_callers(freePort())
        , m_readiness(freePort())
    {
        const auto siblings = std::to_string(freePort());
        std::ofstream(m_settings)
            << "NodeName = \"edge-a-" << number << "\"\nRole = \"gateway\"\n"
            << "MachineClass = \"edge\"\nServes = [\"edge\"]\nIp = \"127.0.0.1\"\n"
            << "Zone = \"a\"\nRegion = \"r\"\nPortRange = [" << siblings << "," << siblings
            << "]\nSeeds = []\nBootstrap = true\nHeartbeatMs = 1200\n"
            << "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
            << "\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"]\n"
            << "[Zones]\na = \"r\"\n[Listen]\nFront = \"127.0.0.1:" << m_callers
            << "\"\nReady = \"127.0.0.1:" << m_readiness << "\"\n"
            << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 110\nMaxFds = 4100\n"
            << "LinkMbps = 1000.0\nDiskMb = 0\n"
            << "[Bounds]\nStableWindowMs = 3000\nDrainMs = 2000\nGraceS = 8\n"
            << "ConfigApplyMs = 2000\nRevokeStrict = true\nRevokeMs = 5000\n"
            << "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 52\nRecoverS = 12\n"
            << "FencingRequired = false\nLeaseMs = 3000\nThawSlackMs = 300\nVersionMs = 6000\n"
            << "[Platform]\nAddress = \"127.0.0.1:" << storePort
            << "\"\nform = \"log\"\nWritesPerS = 400\nReadsPerS = 2000\nkeep_s = 300\n";
    }
    ~Gateway() { kill(); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    int callers() const { return m_callers; }
    const std::string &output() const { return m_output; }

    void start()
    {
        m_process = ::fork();
        if (m_process != 0)
            return;
        // No gateway outlives the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("JUJUBESADDLE_SETTINGS", m_settings.c_str(), 1);
        if (!std::freopen(m_output.c_str(), "a", stdout) || !std::freopen("/dev/null", "r", stdin))
            ::_exit(2);
        ::execl("target/bin/jujubesaddle-gateway", "target/bin/jujubesaddle-gateway", nullptr);
        ::_exit(2);
    }
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(std::exchange(m_process, 0), nullptr, 0);
    }
    bool isReady() const
    {
        const auto connection = connectTo(m_readiness);
        Message answer;
        return connection
               && connection->send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
               && connection->read(answer, true) && answer.status() == 200;
    }

private:
    std::string m_settings;
    std::string m_output;
    int m_callers;
    int m_readiness;
    pid_t m_process = 0;
};

/// Waits until the gateway is ready; ends the case as one that could not run if it does not get so.
inline void awaitReady(const Gateway &gateway)
{
    for (int n = 0; n < 400; ++n) {
        if (gateway.isReady())
            return;
        sleepFor(50ms);
    }
    std::exit(2);
}

} // namespace Review
