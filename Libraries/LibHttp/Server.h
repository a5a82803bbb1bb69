#pragma once

#include <LibCore/IoThreads.h>
#include <LibCore/Result.h>
#include <LibCore/Snapshot.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/IdleConnections.h>
#include <LibHttp/ServerExchange.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Http {

/// What a caller may ask of a server's patience and memory.
struct ServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// The whole request must have arrived within this time of its first byte.
    std::chrono::milliseconds requestTime {10'000};
    /// A connection without a request is closed after this time.
    std::chrono::milliseconds idleTime {60'000};
    /// A caller that takes no bytes for this long is given up.
    std::chrono::milliseconds writeTime {30'000};
};

/// Serves HTTP/1.1 on one port, with connections spread over the threads.
class Server
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(ServerExchange &)>;

    /// Opens the port; port 0 takes a free one. Fails with SettingsInvalid.
    static Core::Result<std::unique_ptr<Server>> create(Core::IoThreads &threads,
                                                        const Endpoint &endpoint,
                                                        const ServerLimits &limits,
                                                        Handler handler);
    ~Server();

    Endpoint localEndpoint() const;
    /// Puts other limits in force for the requests that begin after.
    void setLimits(const ServerLimits &limits);
    /// Goes on taking connections, but ends each after its next answer and says so in it.
    void beginDrain();
    /// Closes connections that wait for a request. A request that crosses the close is not read.
    void closeIdle();
    /// Closes the port and tells connections to end after their present exchange.
    void stopAccepting();
    /// Exchanges under way, from the first byte of the request to the last of the answer.
    std::size_t activeExchanges() const;

    /// What the connections share with the server, and may outlive it with.
    struct Shared;

private:
    class Acceptor;
    Server(std::shared_ptr<Shared> shared, std::shared_ptr<Acceptor> acceptor);

    std::shared_ptr<Shared> m_shared;
    std::shared_ptr<Acceptor> m_acceptor;
};

struct Server::Shared
{
    explicit Shared(const ServerLimits &limits)
        : limits(std::make_shared<ServerLimits>(limits))
    { }

    Core::Snapshot<ServerLimits> limits;
    Handler handler;
    std::atomic<std::size_t> activeExchanges {0};
    std::atomic<bool> stopping {false};
    std::atomic<bool> draining {false};
    IdleConnections idle;
};

} // namespace Http
